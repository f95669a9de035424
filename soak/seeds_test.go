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
	51: "a promotion removed commits that an instance had acknowledged; their callers were answered that the outcome is unknown",
}

func TestSeedsThatFailedBreakNoInvariant(t *testing.T) {
	program := buildDaemon(t)
	for seed, cause := range seedsThatFailed {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { requireKept(t, program, seed, cause) })
	}
}

// TestRestartsInSeriesKeepTheRateOfATeam guards against operations over a team's rate while VMs start again one after the other and some of them
// are cut off from the others.
func TestRestartsInSeriesKeepTheRateOfATeam(t *testing.T) {
	const seed = 442
	requireKept(t, buildDaemon(t), seed, "a team had more operations than its rate allows")
}

// requireKept runs a seed that failed once and requires that it violates nothing.
func requireKept(t *testing.T, program string, seed uint64, cause string) {
	t.Helper()
	report, err := Run(t.Context(), Config{
		Program: program, Dir: t.TempDir(), Seed: seed, VMs: 6, Groups: 2, Sessions: 24, For: 15 * time.Second, Log: log.New(io.Discard),
	})
	require.NoError(t, err)
	require.Empty(t, report.Violations, "it failed before because %s; faults %q", cause, report.Faults)
}

// TestKillOfAllWithAnOrderUnderWayRecoversInTime guards against a group that gets no primary for 15 s: all VMs were killed while the platform held an
// order of one of them, and waited until it could not be under way any more.
func TestKillOfAllWithAnOrderUnderWayRecoversInTime(t *testing.T) {
	requireKeptWithOrderFaults(t, 733)
}

// TestKillsOfAllVMsKeepTheRateOfATeam guards against operations that reach instances more often than the rate of their team allows, after all VMs were
// killed twice: reads were sent to instance after instance, also to those that were known to lack what they require.
func TestKillsOfAllVMsKeepTheRateOfATeam(t *testing.T) {
	requireKeptWithOrderFaults(t, 2)
}

// TestOrderSettledByAnotherOneComesUnderNoOlderToken guards against an order that is taken after one of the next holder: its target led already, by an
// earlier order, so that it counted as carried out while the platform held it.
func TestOrderSettledByAnotherOneComesUnderNoOlderToken(t *testing.T) {
	requireKeptWithOrderFaults(t, 7)
}

// requireKeptWithOrderFaults runs a seed with faults of the promotion service and requires that it violates nothing.
func requireKeptWithOrderFaults(t *testing.T, seed uint64) {
	t.Helper()
	report, err := Run(t.Context(), Config{
		Program: buildDaemon(t), Dir: t.TempDir(), Seed: seed, VMs: 6, Groups: 2, Sessions: 24, For: 15 * time.Second, OrderFaults: true, Log: log.New(io.Discard),
	})
	require.NoError(t, err)
	require.Empty(t, report.Violations, "faults %q", report.Faults)
}
