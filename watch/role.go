package watch

import (
	"time"

	"github.com/crocusshore/crocusshore/retry"
)

// Role is the role of a VM in reading the store for its failure domain.
type Role string

const (
	// RoleReader reads the store continuously, and other VMs get the tables from it.
	RoleReader Role = "Reader"
	// RoleStandby reads the store as soon as the tables from peers are stale.
	RoleStandby Role = "Standby"
	// RoleConsumer reads the store only when its tables are stale beyond the limit for a VM on standby, so that the VMs on standby read
	// the store first.
	RoleConsumer Role = "Served"
)

const (
	// ReaderRankKey is the key under which the VMs of a failure domain are ranked as readers; the first of them is the reader.
	ReaderRankKey = "reader"
	// standbyVMs is how many VMs that rank after the reader are on standby.
	standbyVMs = 2
)

// RoleAt returns the role of the VM at a rank if the VM at rank reader reads the store. VMs that rank before the reader are on standby.
func RoleAt(rank, reader int) Role {
	switch {
	case rank == reader:
		return RoleReader
	case rank < reader+1+standbyVMs:
		return RoleStandby
	default:
		return RoleConsumer
	}
}

// maxAge returns how stale a table may be before the store is read; standby is that age for a VM on standby.
func (r Role) maxAge(standby time.Duration) time.Duration {
	if r == RoleConsumer {
		return standby + consumerExtraAge
	}
	return standby
}

// backoff returns the backoff after failed calls to the store.
func (r Role) backoff() retry.Backoff {
	if r == RoleConsumer {
		return consumerBackoff
	}
	return backoff
}
