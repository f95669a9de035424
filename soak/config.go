package soak

import (
	"time"

	"github.com/charmbracelet/log"
)

// Config describes a run.
type Config struct {
	// Program is the daemon, and Dir where settings and logs of the processes go.
	Program, Dir string
	// Seed decides the faults and what callers do.
	Seed uint64
	// VMs, Groups and Sessions are how many of each there are.
	VMs, Groups, Sessions int
	// For is how long faults are injected.
	For time.Duration
	Log *log.Logger
}
