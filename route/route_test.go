package route

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

func TestChoose(t *testing.T) {
	primary := Candidate{Instance: "A", Domain: "East", Primary: true}
	near := Candidate{Instance: "B", Domain: "North", Mark: model.Mark{Term: 1, Position: 9}}
	far := Candidate{Instance: "C", Domain: "West", Mark: model.Mark{Term: 1, Position: 9}}
	with := func(c Candidate, change func(*Candidate)) Candidate { change(&c); return c }
	requirement := Requirement{Domain: "North", MinMark: model.Mark{Term: 1, Position: 5}, MaxAge: time.Second}
	cases := []struct {
		name        string
		requirement Requirement
		candidates  []Candidate
		want        []model.InstanceName
	}{
		{"the nearest first, the primary last", requirement, []Candidate{primary, far, near}, []model.InstanceName{"B", "C", "A"}},
		{"nothing stale allowed", Requirement{Domain: "North"}, []Candidate{primary, far, near}, []model.InstanceName{"A"}},
		{"a lagging replica is left out", requirement, []Candidate{primary, far, with(near, func(c *Candidate) { c.Lag = time.Minute })}, []model.InstanceName{"C", "A"}},
		{"a loaded replica comes later", requirement, []Candidate{primary, far, with(near, func(c *Candidate) { c.Load = 5 })}, []model.InstanceName{"C", "B", "A"}},
		{"a replica that is behind comes later", requirement, []Candidate{primary, far, with(near, func(c *Candidate) { c.Mark.Position = 1 })}, []model.InstanceName{"C", "B", "A"}},
		{"a leaving replica gets no new work", requirement, []Candidate{primary, far, with(near, func(c *Candidate) { c.Leaving = true })}, []model.InstanceName{"C", "A"}},
		{"a failing replica is left out", requirement, []Candidate{primary, far, with(near, func(c *Candidate) { c.Failing = true })}, []model.InstanceName{"C", "A"}},
		{
			"all replicas failing leaves out none", requirement,
			[]Candidate{primary, with(far, func(c *Candidate) { c.Failing = true }), with(near, func(c *Candidate) { c.Failing = true })},
			[]model.InstanceName{"B", "C", "A"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, Choose(c.requirement, c.candidates))
		})
	}
}

// TestCoversAgreesWithCompleteLogs compares Covers with a search in complete random logs.
func TestCoversAgreesWithCompleteLogs(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 3))
	losses := 0
	for range 20_000 {
		starts := map[model.Term]model.Position{}
		history := map[model.Term][]int{}
		var log []int
		next := 0
		terms := model.Term(1 + random.IntN(4))
		for term := model.Term(1); term <= terms; term++ {
			cut := len(log) - random.IntN(min(len(log), 3)+1)
			log = append([]int(nil), log[:cut]...)
			starts[term] = model.Position(cut)
			for range random.IntN(5) {
				next++
				log = append(log, next)
			}
			history[term] = log
		}
		pick := func() model.Mark {
			term := 1 + model.Term(random.Int64N(int64(terms)))
			return model.Mark{Term: term, Position: model.Position(random.IntN(len(history[term]) + 1))}
		}
		observed, answer := pick(), pick()
		covered, lost := Covers(answer, observed, func(term model.Term) (model.Position, bool) { p, ok := starts[term]; return p, ok })
		wantCovered, wantLost := naiveCovers(history, answer, observed)
		require.Equal(t, wantCovered, covered, "answer %v observed %v starts %v", answer, observed, starts)
		if answer.Term > observed.Term {
			require.Equal(t, wantLost, lost, "answer %v observed %v starts %v", answer, observed, starts)
		}
		if lost {
			losses++
		}
	}
	require.Positive(t, losses)
}

// naiveCovers looks up each entry that the session observed in the answer's log.
func naiveCovers(history map[model.Term][]int, answer, observed model.Mark) (covered, lost bool) {
	if answer.Term < observed.Term {
		return false, false
	}
	complete := map[int]bool{}
	for _, entry := range history[answer.Term] {
		complete[entry] = true
	}
	applied := map[int]bool{}
	for _, entry := range history[answer.Term][:answer.Position] {
		applied[entry] = true
	}
	covered = true
	for _, entry := range history[observed.Term][:observed.Position] {
		switch {
		case !complete[entry]:
			lost = true
		case !applied[entry]:
			covered = false
		}
	}
	return covered, lost
}

// TestNothingIsCoveredWhileTheTermStartIsUnknown guards against a hidden loss: an answer of a term whose start was not known yet was taken
// to include what the session had observed.
func TestNothingIsCoveredWhileTheTermStartIsUnknown(t *testing.T) {
	unknown := func(model.Term) (model.Position, bool) { return 0, false }
	covered, _ := Covers(model.Mark{Term: 2, Position: 3}, model.Mark{Term: 1, Position: 3}, unknown)
	require.False(t, covered)
	covered, _ = Covers(model.Mark{Term: 2, Position: 3}, model.Mark{}, unknown)
	require.True(t, covered, "a session that observed nothing requires nothing")
	started := func(term model.Term) (model.Position, bool) { return 2, term == 2 }
	covered, lost := Covers(model.Mark{Term: 2, Position: 3}, model.Mark{Term: 1, Position: 3}, started)
	require.True(t, covered)
	require.True(t, lost)
}
