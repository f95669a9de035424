package wait

import (
	"slices"
	"sync"
	"time"
)

// maxDurations bounds the durations of past outages that are kept of each stage.
const maxDurations = 8

type (
	// Stage is how far the end of an outage has come, as far as that is known; stages of one name end after similar times.
	Stage string

	// Outages forecasts how long things stay missing from how long they were missing before; it is safe for concurrent use.
	Outages[K comparable] struct {
		mu   sync.Mutex
		open map[K]*outage
		// durations holds the latest durations from the beginning of a stage to the end of the outage, oldest first.
		durations map[Stage][]time.Duration
	}

	// outage is a present outage with its stages so far; missingAt is when the thing was last found to be missing.
	outage struct {
		stages    []stageStart
		missingAt time.Time
	}

	// stageStart is when a stage of an outage began.
	stageStart struct {
		stage Stage
		at    time.Time
	}
)

// NewOutages returns a record without outages.
func NewOutages[K comparable]() *Outages[K] {
	return &Outages[K]{open: map[K]*outage{}, durations: map[Stage][]time.Duration{}}
}

// Missing records that something is missing at now, in a stage of its outage, and returns when it is expected.
func (o *Outages[K]) Missing(now time.Time, key K, stage Stage) Forecast {
	o.mu.Lock()
	defer o.mu.Unlock()
	current := o.open[key]
	if current == nil {
		current = &outage{}
		o.open[key] = current
	}
	current.missingAt = now
	if n := len(current.stages); n == 0 || current.stages[n-1].stage != stage {
		current.stages = append(current.stages, stageStart{stage: stage, at: now})
	}
	return forecast(now, current.stages[len(current.stages)-1].at, o.durations[stage])
}

// Available records that something is available, which ends its outage if there was one. The outage counts as ended when the thing was last found
// to be missing: it may have been available, unnoticed, since then.
func (o *Outages[K]) Available(key K) {
	o.mu.Lock()
	defer o.mu.Unlock()
	current := o.open[key]
	if current == nil {
		return
	}
	delete(o.open, key)
	for _, s := range current.stages {
		lasted := current.missingAt.Sub(s.at)
		if lasted == 0 {
			continue // It was found to be missing once only.
		}
		o.durations[s.stage] = append(o.durations[s.stage], lasted)
		if kept := o.durations[s.stage]; len(kept) > maxDurations {
			o.durations[s.stage] = kept[1:]
		}
	}
}

// Open returns what is missing.
func (o *Outages[K]) Open() []K {
	o.mu.Lock()
	defer o.mu.Unlock()
	keys := make([]K, 0, len(o.open))
	for key := range o.open {
		keys = append(keys, key)
	}
	return keys
}

// forecast returns when an outage that began at since ends, if earlier ones took the given durations. One that is longer than all of them is
// expected to last as long again as it is overdue, but no longer than the longest: a caller that is told too long a time misses its end.
func forecast(now, since time.Time, durations []time.Duration) Forecast {
	var shortest, longest, sum time.Duration
	if len(durations) > 0 {
		shortest, longest = slices.Min(durations), slices.Max(durations)
	}
	for _, d := range durations {
		sum += d
	}
	mean := sum / time.Duration(max(1, len(durations)))
	switch elapsed := now.Sub(since); {
	case longest > 0 && elapsed >= longest:
		return At(now.Add(min(elapsed-longest, longest)))
	case elapsed >= longest:
		return At(now.Add(elapsed))
	case elapsed >= mean:
		return Forecast{Earliest: now, Expected: since.Add(longest)}
	default:
		return Forecast{Earliest: maxTime(now, since.Add(shortest)), Expected: since.Add(mean)}
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
