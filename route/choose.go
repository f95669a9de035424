package route

import (
	"sort"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

const (
	// otherDomainCost is the cost of an instance in another failure domain, in requests per slot.
	otherDomainCost = 2.0
	// laggingCost is the cost of a replica whose last reported position is before the required one, in requests per slot.
	laggingCost = 4.0
	// minHealthyShare is the share of replicas that must be healthy for the others to be left out.
	minHealthyShare = 0.5
)

// Candidate is the cached state of one instance.
type Candidate struct {
	Instance model.InstanceName
	Domain   model.Domain
	Primary  bool
	Leaving  bool
	// Failing candidates returned errors recently.
	Failing bool
	// Mark is the last reported log position that the instance has applied; it can only have advanced since.
	Mark model.Mark
	// Lag is how far the instance lagged behind its primary when it last reported.
	Lag time.Duration
	// Load is the number of waiting and running requests per slot.
	Load float64
}

// Requirement is what a read requires of an instance.
type Requirement struct {
	Domain  model.Domain
	MinMark model.Mark
	MaxAge  time.Duration
}

// Choose returns the instances to try in order; the primary comes last, or alone if the read allows no staleness.
func Choose(requirement Requirement, candidates []Candidate) []model.InstanceName {
	var replicas []Candidate
	var chosen []model.InstanceName
	for _, c := range candidates {
		if c.Primary || c.Leaving || requirement.MaxAge <= 0 || c.Lag > requirement.MaxAge {
			continue
		}
		replicas = append(replicas, c)
	}
	for _, c := range rank(requirement, eject(replicas)) {
		chosen = append(chosen, c.Instance)
	}
	for _, c := range candidates {
		if c.Primary {
			chosen = append(chosen, c.Instance)
		}
	}
	return chosen
}

// eject leaves out the failing replicas, unless less than minHealthyShare of all replicas would remain: then it leaves out none.
func eject(replicas []Candidate) []Candidate {
	var healthy []Candidate
	for _, c := range replicas {
		if !c.Failing {
			healthy = append(healthy, c)
		}
	}
	if float64(len(healthy)) < float64(len(replicas))*minHealthyShare {
		return replicas
	}
	return healthy
}

func rank(requirement Requirement, replicas []Candidate) []Candidate {
	ranked := append([]Candidate(nil), replicas...)
	sort.SliceStable(ranked, func(i, j int) bool {
		return cost(requirement, ranked[i]) < cost(requirement, ranked[j])
	})
	return ranked
}

func cost(requirement Requirement, c Candidate) float64 {
	total := c.Load
	if c.Domain != requirement.Domain {
		total += otherDomainCost
	}
	if c.Mark.Before(requirement.MinMark) {
		total += laggingCost
	}
	return total
}
