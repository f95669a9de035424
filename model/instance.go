package model

import (
	"net/netip"
	"time"

	"github.com/crocusshore/crocusshore/clock"
)

// Role is the role that a database instance reports for itself.
type Role string

const (
	// RolePrimary takes writes.
	RolePrimary Role = "Primary"
	// RoleReplica replicates from a primary.
	RoleReplica Role = "Replica"
)

type (
	// Instance is a database instance as it registered itself.
	Instance struct {
		Name    InstanceName
		Group   GroupName
		Domain  Domain
		Address netip.AddrPort
		// Slots is the number of statements that the instance runs at a time.
		Slots int
		Role  Role
		// Leaving instances take no new work and are about to exit.
		Leaving bool
		// WarmUpLeft is the remaining time for which the instance is slow after its start.
		WarmUpLeft time.Duration
		// StartedAt is when the process started, by the wall clock of its machine.
		StartedAt time.Time
	}

	// Incarnation identifies one start of an instance: after another start under the same name, the instance may hold nothing of its former log.
	Incarnation struct {
		Name      InstanceName
		StartedAt time.Time
	}

	// InstanceState is the state that an instance reports for itself.
	InstanceState struct {
		Role Role
		Term Term
		// Received is the end of the log that the instance has received.
		Received Mark
		// Held is the newest term that the instance leads or was paused for. While paused, the instance receives nothing of lower terms.
		Held Term
		// Lag is the instance's own estimate of how far it is behind its primary.
		Lag time.Duration
		// Busy is the number of statements that are running.
		Busy        int
		Connections int
		// Age is the time from the instant at which the instance was asked to the one at which the status request arrived that this state answers. It
		// is above 0 if the answer to an earlier request is shared, and below 0 if the request waited.
		Age time.Duration
	}
)

// AskedAt returns an instant that is not after the one at which the instance was asked, for the answer to a status request that was made at madeAt.
func (s InstanceState) AskedAt(madeAt time.Time) time.Time {
	drift := time.Duration(clock.MaxDrift * float64(s.Age.Abs()))
	return madeAt.Add(-s.Age - drift)
}

// Incarnation returns the present start of the instance.
func (i Instance) Incarnation() Incarnation {
	return Incarnation{Name: i.Name, StartedAt: i.StartedAt}
}

// Equal reports whether two incarnations are the same start of the same instance.
func (i Incarnation) Equal(other Incarnation) bool {
	return i.Name == other.Name && i.StartedAt.Equal(other.StartedAt)
}
