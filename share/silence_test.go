package share

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
)

// TestVMWithoutReportsTakesNoMoreThanItsEvenShare guards against a VM that took nearly the whole rate: while the VM that admits for a failure
// domain is stopped, the others report their demand to it and not to the VM that admits in its place, which took their silence for no demand.
func TestVMWithoutReportsTakesNoMoreThanItsEvenShare(t *testing.T) {
	for seed := range uint64(10) {
		team := policy.Team{Name: "crew", Rate: 20, Burst: 20}
		f := newSimulation(time.Unix(0, 0), 3, 20, team)
		admitted, _ := simulate(f, team, seed, 24, func(time.Duration) float64 { return 6 * team.Rate }, func(at time.Duration) {
			if at == 10*time.Second {
				f.replaceLimiter(0, time.Unix(20, 0), team)
			}
		})
		require.LessOrEqual(t, mostInAnyWindow(admitted), allowed(team, 20), "seed %d", seed)
	}
}

// TestReportsOfNoDemandLeaveTheRateToOthers requires that a failure domain still gets nearly the whole rate if the others say that they have
// no demand.
func TestReportsOfNoDemandLeaveTheRateToOthers(t *testing.T) {
	team := policy.Team{Name: "crew", Rate: 20, Burst: 20}
	l := New(time.Unix(0, 0), startConfig(3, func(model.TeamName) (policy.Team, bool) { return team, true }))
	part := 0.0
	for at := time.Duration(0); at < 10*time.Second; at += 10 * time.Millisecond {
		now := time.Unix(100, 0).Add(at)
		part = l.Admit(now, team, BucketStart{}).Part
		if at%time.Second == 0 {
			l.Report(now, "self")
			for _, domain := range []model.Domain{"b", "c"} {
				l.RecordReport(now, Report{VM: model.VMID("vm-" + domain), Domain: domain, Demand: map[model.TeamName]float64{team.Name: 0}})
			}
		}
	}
	require.Greater(t, part, 0.85*team.Rate)
}

// TestVMsOfOneFailureDomainAreNoReportOfAnother requires a report of each other failure domain; two VMs of one don't stand for two.
func TestVMsOfOneFailureDomainAreNoReportOfAnother(t *testing.T) {
	team := policy.Team{Name: "crew", Rate: 20, Burst: 20}
	l := New(time.Unix(0, 0), startConfig(3, func(model.TeamName) (policy.Team, bool) { return team, true }))
	part := 0.0
	for at := time.Duration(0); at < 10*time.Second; at += 10 * time.Millisecond {
		now := time.Unix(100, 0).Add(at)
		part = l.Admit(now, team, BucketStart{}).Part
		if at%time.Second == 0 {
			l.Report(now, "self")
			for n := range 2 {
				l.RecordReport(now, Report{VM: model.VMID(fmt.Sprint(n)), Domain: "b", Demand: map[model.TeamName]float64{team.Name: 0}})
			}
		}
	}
	require.LessOrEqual(t, part, 2*team.Rate/3)
}

// TestStoppedVMSavesUpNoBurst guards against a bucket that fills while its VM is stopped and another one admits in its place.
func TestStoppedVMSavesUpNoBurst(t *testing.T) {
	team := policy.Team{Name: "crew", Rate: 20, Burst: 20}
	l := New(time.Unix(0, 0), startConfig(1, func(model.TeamName) (policy.Team, bool) { return team, true }))
	now := time.Unix(100, 0)
	admitAll := func(now time.Time) (admitted int) {
		for l.Admit(now, team, BucketStart{}).Admitted {
			admitted++
		}
		return admitted
	}
	admitAll(now)
	now = now.Add(3 * time.Second)
	admitted := admitAll(now)
	require.LessOrEqual(t, admitted, int(team.Rate*maxSilence.Seconds()), "it was stopped")
	require.Positive(t, admitted, "a VM that is only late serves a team that seldom sends")
	for range 10 {
		now = now.Add(50 * time.Millisecond)
		l.NoteRunning(now)
	}
	require.Equal(t, int(team.Rate/2), admitAll(now), "it runs again")
}

// TestStandInSavesUpNothing guards against a burst at each time that a VM admits in place of another, which has its own bucket.
func TestStandInSavesUpNothing(t *testing.T) {
	team := policy.Team{Name: "crew", Rate: 20, Burst: 20}
	l := New(time.Unix(0, 0), startConfig(1, func(model.TeamName) (policy.Team, bool) { return team, true }))
	start := time.Unix(100, 0)
	for at := time.Duration(0); at < 4*time.Second; at += 50 * time.Millisecond {
		now := start.Add(at)
		l.TokenRequests(now, "self")
		if at%(2*time.Second) != 0 {
			continue
		}
		admitted := 0
		for l.Admit(now, team, StandInStart(now, team, 1)).Admitted {
			admitted++
		}
		require.Positive(t, admitted, "after %s", at)
		require.LessOrEqual(t, admitted, 1+int(team.Rate*standInReserve.Seconds()), "after %s", at)
	}
}
