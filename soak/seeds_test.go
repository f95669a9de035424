package soak

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
)

// seedsThatFailed are seeds that once broke a promise or a check, with the cause.
var seedsThatFailed = map[uint64]string{
	51: "the check of promotions counted commits whose callers were told that the outcome is open",
}

func TestSeedsThatFailedKeepThePromises(t *testing.T) {
	program := build(t)
	for seed, cause := range seedsThatFailed {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			report, err := Run(t.Context(), Config{
				Program: program, Dir: t.TempDir(), Seed: seed, VMs: 6, Groups: 2, Sessions: 24, For: 15 * time.Second, Log: log.New(io.Discard),
			})
			require.NoError(t, err)
			require.Empty(t, report.Breaches, "it failed before because %s; faults %q", cause, report.Faults)
		})
	}
}
