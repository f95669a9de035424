package sample

import (
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

const (
	// maxSamples bounds the samples that are kept of a group.
	maxSamples = 64
	// minSpacing is the least time between two samples that are kept.
	minSpacing = 40 * time.Millisecond
)

type (
	// Sample is a log position of a group; every commit acknowledged before At is at or below it.
	Sample struct {
		At   time.Time
		Mark model.Mark
	}

	// Samples holds the recent samples of all groups; it is safe for concurrent use.
	Samples struct {
		mu     sync.Mutex
		groups map[model.GroupName][]Sample
	}
)

// New returns an empty Samples.
func New() *Samples {
	return &Samples{groups: map[model.GroupName][]Sample{}}
}

// Add records a sample. For the answer of a primary, At is when the request was sent; the lease on the primary must have been valid then.
// A sample that is older or lower than the last one is ignored.
func (s *Samples) Add(group model.GroupName, sample Sample) {
	if sample.Mark == (model.Mark{}) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.groups[group]
	if n := len(known); n > 0 {
		last := known[n-1]
		if sample.At.Before(last.At) || sample.Mark.Before(last.Mark) {
			return
		}
		if sample.Mark.Term > last.Mark.Term {
			// Positions of an older term may lie in a part of the log that the promotion truncated.
			known, n = known[:0], 0
		}
		if n > 1 && sample.At.Sub(known[n-2].At) < minSpacing {
			known[n-1] = sample
			return
		}
	}
	known = append(known, sample)
	if len(known) > maxSamples {
		known = append(known[:0], known[len(known)-maxSamples:]...)
	}
	s.groups[group] = known
}

// LowestCovering returns the lowest known position that includes every commit acknowledged before since.
func (s *Samples) LowestCovering(group model.GroupName, since time.Time) (Sample, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sample := range s.groups[group] {
		if !sample.At.Before(since) {
			return sample, true
		}
	}
	return Sample{}, false
}

// Last returns the newest sample of a group.
func (s *Samples) Last(group model.GroupName) (Sample, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.groups[group]
	if len(known) == 0 {
		return Sample{}, false
	}
	return known[len(known)-1], true
}
