package soak

import (
	"os"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
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

// Check returns all that is wrong with a configuration.
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
	if _, err := os.Stat(c.Program); err != nil {
		findings = append(findings, errors.Wrap(err, "Program: build the daemon first"))
	}
	return errors.Join(findings...)
}
