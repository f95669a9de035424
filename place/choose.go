package place

import (
	"sort"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
	"github.com/crocusshore/crocusshore/sample"
)

const (
	// otherDomainPenalty is the cost of another failure domain, in units of a statement's usual service time.
	otherDomainPenalty = 0.35
	// primaryPenalty keeps reads off the primary, which alone can take writes.
	primaryPenalty = 0.8
	// loadWeight is the cost of each statement of this VM in flight or waiting. The cost is divided by the slots of the instance.
	loadWeight = 1.0
	// warmUpFactor multiplies the slowness of an instance while it warms up.
	warmUpFactor = 1.6
	// fullPenalty is the cost of an instance without a free slot: the statement waits for about as long as another one takes.
	fullPenalty = 1
	// laggingPenalty ranks replicas that are expected to lack the position of a read behind the primary, which lacks none.
	laggingPenalty = 10
	// failedPenalty ranks instances that failed recently behind all others.
	failedPenalty = 100
)

type (
	// Candidate is an instance with its load from this VM and its recent latency and failures.
	Candidate struct {
		Instance model.Instance
		Primary  bool
		// Local reports that the instance is in the failure domain of this VM.
		Local bool
		// Slowness is the ratio of the recent latency to the usual one of the same routes, 1 if unknown.
		Slowness float64
		// InFlight counts the connections in use, and Waiting the requests that wait for one.
		InFlight, Waiting int
		// Failed reports that the instance failed recently and has not answered since.
		Failed bool
		// Full reports that the instance had no slot for a statement just before.
		Full bool
		// Since is the log position that the read requires of a replica, and Lagging reports that the replica is expected to lack it.
		Since   model.Mark
		Lagging bool
	}

	// Requirement is what a read requires of an instance and its log.
	Requirement struct {
		// PrimaryOnly requires that the instance is the primary.
		PrimaryOnly bool
		// Since is the position that the log of the instance must include.
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
	total := slowness * (1 + loadWeight*float64(c.InFlight+c.Waiting)/slots)
	if !c.Local {
		total += otherDomainPenalty
	}
	if c.Primary {
		total += primaryPenalty
	}
	if c.Full {
		total += fullPenalty
	}
	if c.Lagging {
		total += laggingPenalty
	}
	if c.Failed {
		total += failedPenalty
	}
	return total
}

// RequirementOf returns what a read on a route requires: covered is the lowest sample that is recent enough for the route, and
// sessionMark is the last position of the session. Any sample of a newer term covers a position of an older term.
func RequirementOf(route policy.Route, covered sample.Sample, sessionMark model.Mark) Requirement {
	if route.Consistency == policy.ConsistencyPrimary || covered.Mark == (model.Mark{}) {
		return Requirement{PrimaryOnly: true}
	}
	requirement := Requirement{Since: covered.Mark}
	if route.Consistency == policy.ConsistencySession && covered.Mark.Before(sessionMark) {
		requirement.Since = sessionMark
	}
	return requirement
}
