package soak

import (
	"os"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
)

const (
	// defaultGrace is the time between SIGTERM and SIGKILL if the configuration names none.
	defaultGrace = 3 * time.Second
	// minSlots is the least number of slots of an instance.
	minSlots = 3
	// sessionsPerSlot is how many sessions share a slot in runs of planned work, where no instance is overloaded.
	sessionsPerSlot = 4
	// lateFollow is how long after a promotion replicas follow the old primary in runs with faults of the promotion service.
	lateFollow = 300 * time.Millisecond
)

// Config describes a run.
type Config struct {
	// Program is the path of the daemon. Dir is the directory of the settings and logs of the processes.
	Program, Dir string
	// Seed determines the faults and the statements of the callers.
	Seed uint64
	// VMs, Groups and Sessions are the numbers of VMs, of database groups and of callers; each caller has one session at a time.
	VMs, Groups, Sessions int
	// For is how long faults are injected.
	For time.Duration
	// OrderFaults adds faults of the promotion service and of the paths to it, beside the other faults.
	OrderFaults bool
	// AnswerFaults adds faults of the answers of instances, beside the other faults.
	AnswerFaults bool
	// Evacuations, SlowStarts, LargeSettings and Crowds each add a series beside the other faults: failure domains are evacuated; instances start again
	// and are cold; the settings grow to some hundred KiB and change while VMs are killed; clients misbehave.
	Evacuations, SlowStarts, LargeSettings, Crowds bool
	// Restores adds a series in which the store comes back from older copies.
	Restores bool
	// PlannedOnly replaces the faults by planned work: restarts, Together VMs at a time, and changes of settings.
	PlannedOnly bool
	Together    int
	// Grace is the time between SIGTERM and SIGKILL; 0 takes defaultGrace.
	Grace time.Duration
	Log   *log.Logger
}

// Check returns an error that lists all problems of the configuration, or nil.
func (c Config) Check() error {
	var findings []error
	for name, n := range map[string]int{"VMs": c.VMs, "Groups": c.Groups, "Sessions": c.Sessions} {
		if n < 1 {
			findings = append(findings, errors.Newf("%s: %d is too few, a run needs one at least", name, n))
		}
	}
	if c.For <= 0 {
		findings = append(findings, errors.Newf("For: %s leaves no time for faults", c.For))
	}
	if c.PlannedOnly && (c.Together < 1 || c.Together > c.VMs) {
		findings = append(findings, errors.Newf("Together: %d of %d VMs cannot restart at a time", c.Together, c.VMs))
	}
	if _, err := os.Stat(c.Program); err != nil {
		findings = append(findings, errors.Wrap(err, "Program: build the daemon first"))
	}
	return errors.Join(findings...)
}

// grace returns the time between SIGTERM and SIGKILL.
func (c Config) grace() time.Duration {
	if c.Grace == 0 {
		return defaultGrace
	}
	return c.Grace
}

// slots returns the number of slots of an instance.
func (c Config) slots() int {
	if c.PlannedOnly {
		return max(minSlots, c.Sessions/c.Groups/sessionsPerSlot)
	}
	return minSlots
}

// followDelay returns how long after a promotion replicas go on to follow the old primary.
func (c Config) followDelay() time.Duration {
	if c.OrderFaults {
		return lateFollow
	}
	return 0
}
