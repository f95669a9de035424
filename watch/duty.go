package watch

import (
	"time"

	"github.com/crocusshore/crocusshore/retry"
)

// Duty is the part of a VM in reading the store for its failure domain.
type Duty string

const (
	// DutyReader reads the store all the time.
	DutyReader Duty = "Reader"
	// DutyStandby reads the store as soon as the copies from peers are old.
	DutyStandby Duty = "Standby"
	// DutyServed leaves that to the VMs on standby first.
	DutyServed Duty = "Served"
)

// standbys is how many VMs of a failure domain are on standby for the reader.
const standbys = 2

// DutyAt returns the duty of the VM at a rank, where the VM at rank reader reads the store.
func DutyAt(rank, reader int) Duty {
	switch {
	case rank == reader:
		return DutyReader
	case rank < reader+1+standbys:
		return DutyStandby
	default:
		return DutyServed
	}
}

// age returns how old a copy may be before the store is asked, where a VM on standby asks at an age.
func (d Duty) age(standby time.Duration) time.Duration {
	if d == DutyServed {
		return standby + servedExtra
	}
	return standby
}

// backoff returns the pauses between calls that the store refused.
func (d Duty) backoff() retry.Backoff {
	if d == DutyServed {
		return servedBackoff
	}
	return backoff
}
