package soak

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
)

// seedsThatFailed holds the seeds that once violated an invariant or failed a check, each with the cause.
var seedsThatFailed = map[uint64]string{
	51: "the check of promotions counted commits whose callers were answered that the outcome is unknown",
}

func TestSeedsThatFailedBreakNoInvariant(t *testing.T) {
	program := buildDaemon(t)
	for seed, cause := range seedsThatFailed {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			report, err := Run(t.Context(), Config{
				Program: program, Dir: t.TempDir(), Seed: seed, VMs: 6, Groups: 2, Sessions: 24, For: 15 * time.Second, Log: log.New(io.Discard),
			})
			require.NoError(t, err)
			require.Empty(t, report.Violations, "it failed before because %s; faults %q", cause, report.Faults)
		})
	}
}
