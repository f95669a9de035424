package place

import (
	"sort"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
	"github.com/crocusshore/crocusshore/sample"
)

const (
	// remotePenalty is what another failure domain costs in units of a statement's usual service time.
	remotePenalty = 0.35
	// primaryPenalty keeps reads off the primary, which alone can take writes.
	primaryPenalty = 0.8
	// queuedWeight is what each statement in flight or waiting on this VM adds, divided by the slots.
	queuedWeight = 1.0
	// warmUpFactor is how much slower an instance is while it warms up.
	warmUpFactor = 1.6
	// failedPenalty puts instances that failed lately behind all others.
	failedPenalty = 100
)

type (
	// Candidate is an instance with what this VM knows about its load.
	Candidate struct {
		Instance model.Instance
		Primary  bool
		Local    bool
		// Slowness is the recent latency over what is usual for the statements, 1 where unknown.
		Slowness float64
		// InFlight counts the connections in use, and Waiting the requests that wait for one.
		InFlight, Waiting int
		// Failed tells that the instance failed lately and has not answered since.
		Failed bool
	}

	// Requirement is what a read requires of the log of an instance.
	Requirement struct {
		// PrimaryOnly requires the primary.
		PrimaryOnly bool
		// Since is the position that the log must include.
		Since model.Mark
	}
)

// Rank orders the candidates by expected wait, best first.
func Rank(candidates []Candidate) []Candidate {
	ranked := append([]Candidate(nil), candidates...)
	sort.SliceStable(ranked, func(a, b int) bool { return cost(ranked[a]) < cost(ranked[b]) })
	return ranked
}

func cost(c Candidate) float64 {
	slots := float64(max(1, c.Instance.Slots))
	slowness := max(c.Slowness, 0.1)
	if c.Instance.WarmUpLeft > 0 {
		slowness *= warmUpFactor
	}
	total := slowness * (1 + queuedWeight*float64(c.InFlight+c.Waiting)/slots)
	if !c.Local {
		total += remotePenalty
	}
	if c.Primary {
		total += primaryPenalty
	}
	if c.Failed {
		total += failedPenalty
	}
	return total
}

// RequirementOf tells what a read on a route requires: covered is the lowest sample young enough for the route, and seen is the last
// position of the session. A position of an older term than the sample's is covered by any sample of the newer term.
func RequirementOf(route policy.Route, covered sample.Sample, sessionMark model.Mark) Requirement {
	if route.Consistency == policy.ConsistencyPrimary || covered.Mark == (model.Mark{}) {
		return Requirement{PrimaryOnly: true}
	}
	need := Requirement{Since: covered.Mark}
	if route.Consistency == policy.ConsistencySession && covered.Mark.Before(sessionMark) {
		need.Since = sessionMark
	}
	return need
}
