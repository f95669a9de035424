package watch

import (
	"time"

	"github.com/crocusshore/crocusshore/retry"
)

// Role is the part of a VM in reading the store for its failure domain.
type Role string

const (
	// RoleReader reads the store all the time.
	RoleReader Role = "Reader"
	// RoleStandby reads the store as soon as the copies from peers are old.
	RoleStandby Role = "Standby"
	// RoleConsumer leaves that to the VMs on standby first.
	RoleConsumer Role = "Served"
)

// standbyVMs is how many VMs of a failure domain are on standby for the reader.
const standbyVMs = 2

// RoleAt returns the duty of the VM at a rank, where the VM at rank reader reads the store.
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

// maxAge returns how old a copy may be before the store is asked, where a VM on standby asks at an age.
func (d Role) maxAge(standby time.Duration) time.Duration {
	if d == RoleConsumer {
		return standby + consumerExtraAge
	}
	return standby
}

// backoff returns the pauses between calls that the store refused.
func (d Role) backoff() retry.Backoff {
	if d == RoleConsumer {
		return consumerBackoff
	}
	return backoff
}
