package place

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
	"github.com/crocusshore/crocusshore/sample"
)

func candidate(name string, change func(*Candidate)) Candidate {
	c := Candidate{Instance: model.Instance{Name: model.InstanceName(name), Slots: 3}, Slowness: 1, Local: true}
	if change != nil {
		change(&c)
	}
	return c
}

func TestRankFollowsTheLoad(t *testing.T) {
	for _, c := range []struct {
		name       string
		candidates []Candidate
		want       model.InstanceName
	}{
		{"near replica first", []Candidate{candidate("far", func(c *Candidate) { c.Local = false }), candidate("near", nil)}, "near"},
		{"replica before the primary", []Candidate{candidate("primary", func(c *Candidate) { c.Primary = true }), candidate("replica", nil)}, "replica"},
		{
			"burst: a far replica takes what a near one cannot",
			[]Candidate{candidate("near", func(c *Candidate) { c.InFlight, c.Waiting = 3, 2 }), candidate("far", func(c *Candidate) { c.Local = false })},
			"far",
		},
		{"slow instance is avoided", []Candidate{candidate("slow", func(c *Candidate) { c.Slowness = 5 }), candidate("far", func(c *Candidate) { c.Local = false })}, "far"},
		{"primary before a slow replica", []Candidate{candidate("slow", func(c *Candidate) { c.Slowness = 5 }), candidate("primary", func(c *Candidate) { c.Primary = true })}, "primary"},
		{"failed instance last", []Candidate{candidate("failed", func(c *Candidate) { c.Failed = true }), candidate("slow", func(c *Candidate) { c.Slowness = 9 })}, "slow"},
	} {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, Rank(c.candidates)[0].Instance.Name) })
	}
}

func TestNeedOf(t *testing.T) {
	mark := func(term, position int) model.Mark {
		return model.Mark{Term: model.Term(term), Position: model.Position(position)}
	}
	session := policy.Route{Consistency: policy.ConsistencySession}
	bounded := policy.Route{Consistency: policy.ConsistencyBounded}
	covered := sample.Sample{Mark: mark(2, 50)}
	require.Equal(t, Requirement{PrimaryOnly: true}, RequirementOf(policy.Route{Consistency: policy.ConsistencyPrimary}, covered, model.Mark{}))
	require.Equal(t, Requirement{PrimaryOnly: true}, RequirementOf(bounded, sample.Sample{}, model.Mark{}), "without a sample nothing is known to be fresh")
	require.Equal(t, Requirement{Since: mark(2, 50)}, RequirementOf(bounded, covered, mark(2, 70)), "bounded reads do not follow the session")
	require.Equal(t, Requirement{Since: mark(2, 70)}, RequirementOf(session, covered, mark(2, 70)))
	require.Equal(t, Requirement{Since: mark(2, 50)}, RequirementOf(session, covered, mark(2, 40)))
	require.Equal(t, Requirement{Since: mark(2, 50)}, RequirementOf(session, covered, mark(1, 90)), "a position of an older term may be in a tail that was cut off")
	require.Equal(t, Requirement{Since: mark(3, 10)}, RequirementOf(session, covered, mark(3, 10)), "the session wrote in a later term than the sample")
}

func TestTrackForgetsSlownessAndFailures(t *testing.T) {
	track := NewTracker()
	now := time.Unix(100, 0)
	for range 50 {
		track.RecordAnswer(now, Latency{Route: "r", Took: 10 * time.Millisecond, Direct: true}, "fast")
	}
	for range 20 {
		track.RecordAnswer(now, Latency{Route: "r", Took: 100 * time.Millisecond, Direct: true}, "slow")
	}
	slow := candidate("slow", nil)
	require.Greater(t, track.Assess(now, slow).Slowness, 1.5)
	require.InDelta(t, 1, track.Assess(now.Add(slownessTTL+time.Second), slow).Slowness, 0.01)
	track.RecordFailure(now, "slow")
	require.True(t, track.Assess(now, slow).Failed)
	require.Equal(t, 1, track.Health("slow").Failures)
	require.False(t, track.Assess(now.Add(failureTTL), slow).Failed)
	track.RecordAlive(now, "slow")
	require.Zero(t, track.Health("slow").Failures)
}

// TestTryLeavesAFailingInstanceToOneTrialAtATime replays an instance that goes dark: each statement for it waited for a time limit of
// its own, and held a connection meanwhile.
func TestTryLeavesAFailingInstanceToOneTrialAtATime(t *testing.T) {
	track := NewTracker()
	now := time.Unix(100, 0)
	track.RecordFailure(now, "i")
	for range 2 {
		require.True(t, track.AllowAttempt(now, "i"), "one failure may be the statement's")
	}
	track.RecordFailure(now, "i")
	trials := 0
	for elapsed := time.Duration(0); elapsed < time.Second; elapsed += 5 * time.Millisecond {
		if track.AllowAttempt(now.Add(elapsed), "i") {
			trials++
		}
	}
	require.Equal(t, int(time.Second/trialInterval)-1, trials, "the trial before the second failure counts")
	track.RecordAlive(now.Add(time.Second), "i")
	for range 2 {
		require.True(t, track.AllowAttempt(now.Add(time.Second), "i"))
	}
}
