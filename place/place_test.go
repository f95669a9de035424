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
			"busy near replica after a free far one",
			[]Candidate{candidate("near", func(c *Candidate) { c.InFlight, c.Waiting = 3, 2 }), candidate("far", func(c *Candidate) { c.Local = false })},
			"far",
		},
		{"slow instance is avoided", []Candidate{candidate("slow", func(c *Candidate) { c.Slowness = 5 }), candidate("far", func(c *Candidate) { c.Local = false })}, "far"},
		{"primary before a slow replica", []Candidate{candidate("slow", func(c *Candidate) { c.Slowness = 5 }), candidate("primary", func(c *Candidate) { c.Primary = true })}, "primary"},
		{"full instance after a free far one", []Candidate{candidate("full", func(c *Candidate) { c.Full = true }), candidate("far", func(c *Candidate) { c.Local = false })}, "far"},
		{"failed instance last", []Candidate{candidate("failed", func(c *Candidate) { c.Failed = true }), candidate("slow", func(c *Candidate) { c.Slowness = 9 })}, "slow"},
	} {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, Rank(c.candidates)[0].Instance.Name) })
	}
}

func TestRequirementOf(t *testing.T) {
	mark := func(term, position int) model.Mark {
		return model.Mark{Term: model.Term(term), Position: model.Position(position)}
	}
	session := policy.Route{Consistency: policy.ConsistencySession}
	bounded := policy.Route{Consistency: policy.ConsistencyBounded}
	covered := sample.Sample{Mark: mark(2, 50)}
	require.Equal(t, Requirement{PrimaryOnly: true}, RequirementOf(policy.Route{Consistency: policy.ConsistencyPrimary}, covered, model.Mark{}))
	require.Equal(t, Requirement{PrimaryOnly: true}, RequirementOf(bounded, sample.Sample{}, model.Mark{}),
		"without a sample no replica is known to be fresh")
	require.Equal(t, Requirement{Since: mark(2, 50)}, RequirementOf(bounded, covered, mark(2, 70)), "bounded reads do not follow the session")
	require.Equal(t, Requirement{Since: mark(2, 70)}, RequirementOf(session, covered, mark(2, 70)))
	require.Equal(t, Requirement{Since: mark(2, 50)}, RequirementOf(session, covered, mark(2, 40)))
	require.Equal(t, Requirement{Since: mark(2, 50)}, RequirementOf(session, covered, mark(1, 90)),
		"a position of an older term may lie in a part of the log that was truncated")
	require.Equal(t, Requirement{Since: mark(3, 10)}, RequirementOf(session, covered, mark(3, 10)), "the session wrote in a later term than the sample")
}

func TestSlownessAndFailuresExpire(t *testing.T) {
	tracker := NewTracker()
	now := time.Unix(100, 0)
	for range 50 {
		tracker.RecordAnswer(now, Latency{Route: "r", Took: 10 * time.Millisecond, Direct: true}, "fast")
	}
	for range 20 {
		tracker.RecordAnswer(now, Latency{Route: "r", Took: 100 * time.Millisecond, Direct: true}, "slow")
	}
	slow := candidate("slow", nil)
	require.Greater(t, tracker.Assess(now, slow).Slowness, 1.5)
	require.InDelta(t, 1, tracker.Assess(now.Add(slownessTTL+time.Second), slow).Slowness, 0.01)
	tracker.RecordFailure(now, "slow")
	require.True(t, tracker.Assess(now, slow).Failed)
	require.Equal(t, 1, tracker.Health(now, "slow").Failures)
	require.False(t, tracker.Assess(now.Add(failureTTL), slow).Failed)
	tracker.RecordAlive(now, "slow")
	require.Zero(t, tracker.Health(now, "slow").Failures)
}

func TestFullInstanceIsFullUntilItsSlotsComeFree(t *testing.T) {
	const work = 20 * time.Millisecond
	tracker := NewTracker()
	now := time.Unix(100, 0)
	tracker.RecordAnswer(now, Latency{Route: "r", Took: 5 * work, Work: work}, "i")
	require.Equal(t, work, tracker.UsualWork("r"), "without the wait for a connection")
	tracker.RecordFull(now, "r", "i")
	require.True(t, tracker.Assess(now.Add(work-1), candidate("i", nil)).Full)
	require.False(t, tracker.Assess(now.Add(work), candidate("i", nil)).Full)
}

// TestUsualWorkIsNotThatOfOneStalledStatement guards against requests that are refused since one statement took very long.
func TestUsualWorkIsNotThatOfOneStalledStatement(t *testing.T) {
	const work = 20 * time.Millisecond
	tracker := NewTracker()
	now := time.Unix(100, 0)
	for _, took := range []time.Duration{work, 7 * time.Second, work, work} {
		tracker.RecordAnswer(now, Latency{Route: "r", Took: took, Work: took}, "i")
	}
	require.Less(t, tracker.UsualWork("r"), 2*work)
	for range 60 {
		tracker.RecordAnswer(now, Latency{Route: "r", Took: 5 * work, Work: 5 * work}, "i")
	}
	require.InDelta(t, 5*work, tracker.UsualWork("r"), float64(work), "an instance that stays slow is noticed")
}

// TestReplicaThatLagsIsAskedAgainAfterAsLongAgain guards against reads that each ask a replica which is known to lack what they require.
func TestReplicaThatLagsIsAskedAgainAfterAsLongAgain(t *testing.T) {
	tracker := NewTracker()
	start := time.Unix(100, 0)
	after := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	mark := func(position int) model.Mark { return model.Mark{Term: 1, Position: model.Position(position)} }
	lagging := func(ms, position int) bool {
		return tracker.Assess(after(ms), candidate("r", func(c *Candidate) { c.Since = mark(position) })).Lagging
	}
	tracker.RecordLagging(after(0), "r", mark(20))
	require.False(t, lagging(1, 20), "it may have caught up")
	tracker.RecordLagging(after(40), "r", mark(25))
	require.True(t, lagging(79, 20))
	require.True(t, lagging(79, 99))
	require.False(t, lagging(79, 19), "an earlier position may be there")
	require.False(t, lagging(80, 20))
	tracker.RecordLagging(after(5000), "r", mark(300))
	require.False(t, lagging(5200, 300))
	tracker.RecordMark("r", mark(19))
	require.True(t, lagging(5199, 300))
	tracker.RecordMark("r", mark(30))
	require.False(t, lagging(5199, 300), "it has received the lowest position that it lacked")
	require.Equal(t, model.InstanceName("p"), Rank([]Candidate{
		candidate("r", func(c *Candidate) { c.Lagging = true }),
		candidate("p", func(c *Candidate) { c.Primary, c.Local, c.InFlight = true, false, 6 }),
	})[0].Instance.Name)
}

// TestFailingInstanceGetsOneAttemptPerInterval guards against waits for an unreachable instance: each statement for it waited for its
// own time-out and held a connection meanwhile.
func TestFailingInstanceGetsOneAttemptPerInterval(t *testing.T) {
	tracker := NewTracker()
	now := time.Unix(100, 0)
	tracker.RecordFailure(now, "i")
	for range 2 {
		require.True(t, tracker.TakeAttempt(now, "i"), "one failure may be due to the statement")
	}
	tracker.RecordFailure(now, "i")
	attempts := 0
	for elapsed := time.Duration(0); elapsed < time.Second; elapsed += 5 * time.Millisecond {
		if tracker.TakeAttempt(now.Add(elapsed), "i") {
			attempts++
		}
	}
	require.Equal(t, int(time.Second/AttemptInterval)-1, attempts, "the attempt before the second failure counts")
	tracker.RecordAlive(now.Add(time.Second), "i")
	for range 2 {
		require.True(t, tracker.TakeAttempt(now.Add(time.Second), "i"))
	}
}
