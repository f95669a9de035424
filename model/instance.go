package model

import (
	"net/netip"
	"time"
)

// Role is what a database instance believes itself to be.
type Role string

const (
	// RolePrimary takes writes.
	RolePrimary Role = "Primary"
	// RoleReplica follows a primary.
	RoleReplica Role = "Replica"
)

type (
	// Instance is a database instance as it registered itself.
	Instance struct {
		Name    InstanceName
		Group   GroupName
		Domain  Domain
		Address netip.AddrPort
		// Slots is how many statements the instance runs at a time.
		Slots int
		Role  Role
		// Leaving instances take no new work and exit soon.
		Leaving bool
		// WarmUpLeft is how much longer the instance is slow after its start.
		WarmUpLeft time.Duration
		// StartedAt is when the process started, by its own time of day.
		StartedAt time.Time
	}

	// InstanceState is what an instance answers about itself.
	InstanceState struct {
		Role Role
		Term Term
		// Received is the end of the log.
		Received Mark
		// Held is the newest term that the instance was paused for or leads; it receives nothing of lower terms while paused.
		Held Term
		// Lag is how far the instance is behind its primary, by its own estimate.
		Lag         time.Duration
		Busy        int
		Connections int
	}
)
