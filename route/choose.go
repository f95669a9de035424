package route

import (
	"sort"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

const (
	// otherDomainPenalty is the cost of leaving the failure domain, in waiting requests.
	otherDomainPenalty = 2.0
	// laggingPenalty is the cost of a replica that is not known to have caught up yet.
	laggingPenalty = 4.0
	// minInUseShare is the share of replicas that stay in use however bad they look.
	minInUseShare = 0.5
)

// Candidate is what a VM knows of one instance.
type Candidate struct {
	Instance model.InstanceName
	Domain   model.Domain
	Primary  bool
	Leaving  bool
	// Failing candidates gave errors lately.
	Failing bool
	// Mark is the last known applied place in the log; it can only have grown since.
	Mark model.Mark
	// Lag is how far the instance lagged behind its primary when it last told.
	Lag time.Duration
	// Load is how many requests wait or run for each slot.
	Load float64
}

// Need is what a read asks for.
type Need struct {
	Domain  model.Domain
	MinMark model.Mark
	MaxAge  time.Duration
}

// Choose returns the instances to try in order; the primary comes last, or alone where nothing may be stale.
func Choose(need Need, candidates []Candidate) []model.InstanceName {
	var replicas []Candidate
	var chosen []model.InstanceName
	for _, c := range candidates {
		if c.Primary || c.Leaving || need.MaxAge <= 0 || c.Lag > need.MaxAge {
			continue
		}
		replicas = append(replicas, c)
	}
	for _, c := range rank(need, eject(replicas)) {
		chosen = append(chosen, c.Instance)
	}
	for _, c := range candidates {
		if c.Primary {
			chosen = append(chosen, c.Instance)
		}
	}
	return chosen
}

// eject moves failing replicas out, but never more than the floor allows.
func eject(replicas []Candidate) []Candidate {
	var healthy []Candidate
	for _, c := range replicas {
		if !c.Failing {
			healthy = append(healthy, c)
		}
	}
	if float64(len(healthy)) < float64(len(replicas))*minInUseShare {
		return replicas
	}
	return healthy
}

func rank(need Need, replicas []Candidate) []Candidate {
	ranked := append([]Candidate(nil), replicas...)
	sort.SliceStable(ranked, func(i, j int) bool {
		return cost(need, ranked[i]) < cost(need, ranked[j])
	})
	return ranked
}

func cost(need Need, c Candidate) float64 {
	total := c.Load
	if c.Domain != need.Domain {
		total += otherDomainPenalty
	}
	if c.Mark.Before(need.MinMark) {
		total += laggingPenalty
	}
	return total
}
