package place

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

// TestSlowInstanceIsKnownToVMsThatSeldomUseIt replays a slow replica before a large fleet: two homes of a failure domain see twenty of its
// statements a second, and each of forty other VMs sees one in two seconds, which is too few to tell before the spell is over.
func TestSlowInstanceIsKnownToVMsThatSeldomUseIt(t *testing.T) {
	const usual, slow, others = 20 * time.Millisecond, 120 * time.Millisecond, 40
	random := rand.New(rand.NewPCG(1, 1))
	took := func(mean time.Duration) time.Duration { return time.Duration(random.ExpFloat64() * float64(mean)) }
	home, reader := NewTracker(), NewTracker()
	vms := make([]*Tracker, others)
	for i := range vms {
		vms[i] = NewTracker()
	}
	now := time.Unix(100, 0)
	direct := func(took time.Duration) Latency { return Latency{Route: "r", Took: took, Direct: true} }
	for step := range 200 {
		now = now.Add(50 * time.Millisecond)
		for _, name := range []model.InstanceName{"a", "b", "c"} {
			home.RecordAnswer(now, direct(took(usual)), name)
		}
		mean := usual
		if step >= 100 {
			mean = slow
		}
		home.RecordAnswer(now, direct(took(mean)), "slow")
		vms[step%others].RecordAnswer(now, Latency{Route: "r", Took: took(mean)}, "slow")
		if step%8 != 0 {
			continue
		}
		for _, c := range home.Observed(now) {
			reader.RecordReported(now, c)
		}
		for _, vm := range vms {
			for _, c := range reader.Conditions(now) {
				vm.RecordReported(now, c)
			}
		}
	}
	avoid := 0
	for _, vm := range vms {
		if vm.Assess(now, Candidate{Instance: model.Instance{Name: "slow"}}).Slowness >= minReportedSlowness {
			avoid++
		}
		require.Less(t, vm.Assess(now, Candidate{Instance: model.Instance{Name: "a"}}).Slowness, minReportedSlowness)
	}
	require.Equal(t, others, avoid)
	later := now.Add(conditionTTL)
	require.Empty(t, reader.Conditions(later), "it is forgotten when nobody sees it any more")
}

func TestConditionsTellOfFailuresUntilTheInstanceAnswers(t *testing.T) {
	home, vm := NewTracker(), NewTracker()
	now := time.Unix(100, 0)
	home.RecordFailure(now, "i")
	require.Empty(t, home.Observed(now), "one failure may be the statement's")
	home.RecordFailure(now, "i")
	for _, c := range home.Observed(now) {
		require.True(t, c.Failing)
		vm.RecordReported(now, c)
	}
	candidate := Candidate{Instance: model.Instance{Name: "i"}}
	require.True(t, vm.Assess(now, candidate).Failed)
	vm.RecordAlive(now.Add(time.Millisecond), "i")
	require.False(t, vm.Assess(now.Add(2*time.Millisecond), candidate).Failed, "an answer is newer than what was heard")
	home.RecordAlive(now, "i")
	require.Empty(t, home.Observed(now))
}

func TestOnlyDirectLatenciesAreTold(t *testing.T) {
	track := NewTracker()
	now := time.Unix(100, 0)
	for range 50 {
		track.RecordAnswer(now, Latency{Route: "r", Took: 10 * time.Millisecond}, "a")
		track.RecordAnswer(now, Latency{Route: "r", Took: 90 * time.Millisecond}, "b")
	}
	require.Empty(t, track.Observed(now), "a wait for a connection at another VM may be in them")
}
