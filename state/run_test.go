package state

import (
	"os"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

func schedules(t *testing.T) int {
	t.Helper()
	text := os.Getenv(schedulesVariable)
	if text == "" {
		return runSchedules
	}
	n, err := strconv.Atoi(text)
	require.NoError(t, err)
	return n
}

func TestNoLeaseOutlivesAPromotion(t *testing.T) {
	promoted := 0
	for seed := range schedules(t) {
		s := newSchedule(t, uint64(seed), correctRule)
		require.False(t, s.runUntilViolation(), "seed %d", seed)
		if s.promoted {
			promoted++
		}
	}
	t.Logf("%d of %d schedules promoted", promoted, schedules(t))
	require.Positive(t, promoted)
}

func TestBrokenRulesAreDetected(t *testing.T) {
	for _, r := range []rule{
		{name: "waits for half of the lease TTL", wait: leaseTTL / 2, allReplicas: true, allVMs: true, confirms: true},
		{name: "requires only one paused replica", wait: leaseTTL + waitSlack, allVMs: true, confirms: true},
		{name: "requires releases of a majority only", wait: leaseTTL + waitSlack, allReplicas: true, confirms: true},
		{name: "acknowledges after confirming its release", wait: leaseTTL + waitSlack, allReplicas: true, allVMs: true},
	} {
		t.Run(r.name, func(t *testing.T) {
			found := -1
			for seed := 0; seed < schedules(t) && found < 0; seed++ {
				if newSchedule(t, uint64(seed), r).runUntilViolation() {
					found = seed
				}
			}
			require.GreaterOrEqual(t, found, 0, "no schedule finds the fault")
			t.Logf("found by seed %d", found)
		})
	}
}
