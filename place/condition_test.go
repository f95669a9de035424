package place

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

// TestSlowInstanceIsAvoidedByVMsThatSeldomUseIt guards against a slow replica that most VMs continue to use. Two VMs of a failure
// domain hold the connections to it and measure twenty of its statements a second, while each of forty others measures one in two seconds,
// too few to detect the slowness before it ends.
func TestSlowInstanceIsAvoidedByVMsThatSeldomUseIt(t *testing.T) {
	const usual, slow, others = 20 * time.Millisecond, 120 * time.Millisecond, 40
	random := rand.New(rand.NewPCG(1, 1))
	took := func(mean time.Duration) time.Duration { return time.Duration(random.ExpFloat64() * float64(mean)) }
	owner, reader := NewTracker(), NewTracker()
	vms := make([]*Tracker, others)
	for i := range vms {
		vms[i] = NewTracker()
	}
	now := time.Unix(100, 0)
	direct := func(took time.Duration) Latency { return Latency{Route: "r", Took: took, Direct: true} }
	for step := range 200 {
		now = now.Add(50 * time.Millisecond)
		for _, name := range []model.InstanceName{"a", "b", "c"} {
			owner.RecordAnswer(now, direct(took(usual)), name)
		}
		mean := usual
		if step >= 100 {
			mean = slow
		}
		owner.RecordAnswer(now, direct(took(mean)), "slow")
		vms[step%others].RecordAnswer(now, Latency{Route: "r", Took: took(mean)}, "slow")
		if step%8 != 0 {
			continue
		}
		for _, c := range owner.Observed(now) {
			reader.RecordReported(now, c)
		}
		for _, vm := range vms {
			for _, c := range reader.Conditions(now) {
				vm.RecordReported(now, c)
			}
		}
	}
	avoiding := 0
	for _, vm := range vms {
		if vm.Assess(now, Candidate{Instance: model.Instance{Name: "slow"}}).Slowness >= minReportedSlowness {
			avoiding++
		}
		require.Less(t, vm.Assess(now, Candidate{Instance: model.Instance{Name: "a"}}).Slowness, minReportedSlowness)
	}
	require.Equal(t, others, avoiding)
	later := now.Add(conditionTTL)
	require.Empty(t, reader.Conditions(later), "a condition expires without new observations")
}

func TestReportedFailureEndsWithAnAnswer(t *testing.T) {
	owner, vm := NewTracker(), NewTracker()
	now := time.Unix(100, 0)
	owner.RecordFailure(now, "i")
	require.Empty(t, owner.Observed(now), "one failure may be due to the statement")
	owner.RecordFailure(now, "i")
	for _, c := range owner.Observed(now) {
		require.True(t, c.Failing)
		vm.RecordReported(now, c)
	}
	candidate := Candidate{Instance: model.Instance{Name: "i"}}
	require.True(t, vm.Assess(now, candidate).Failed)
	require.True(t, vm.Health(now, "i").ReportedFailing)
	require.False(t, vm.Health(now.Add(conditionTTL), "i").ReportedFailing, "a report expires")
	vm.RecordAlive(now.Add(time.Millisecond), "i")
	require.False(t, vm.Health(now.Add(2*time.Millisecond), "i").ReportedFailing)
	require.False(t, vm.Assess(now.Add(2*time.Millisecond), candidate).Failed, "the answer is newer than the reported failure")
	owner.RecordAlive(now, "i")
	require.Empty(t, owner.Observed(now))
}

func TestOnlyDirectLatenciesAreReported(t *testing.T) {
	tracker := NewTracker()
	now := time.Unix(100, 0)
	for range 50 {
		tracker.RecordAnswer(now, Latency{Route: "r", Took: 10 * time.Millisecond}, "a")
		tracker.RecordAnswer(now, Latency{Route: "r", Took: 90 * time.Millisecond}, "b")
	}
	require.Empty(t, tracker.Observed(now), "latencies that are not direct may include a wait for a connection at another VM")
}
