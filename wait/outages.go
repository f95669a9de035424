package wait

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxDurations bounds the durations of past outages that are kept of each stage.
	maxDurations = 8
	// maxOverdue bounds how long an outage is expected to last that is longer than all before it. A caller that asks again too early is refused at
	// once, and one that asks too late misses the end of the outage.
	maxOverdue = 5 * time.Second
)

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

// forecast returns when an outage that began at since ends, from those earlier durations that are longer than it has lasted: their lower quartile
// and their median. If there is none, it is expected to last as long again as it is overdue, but no longer than maxOverdue.
func forecast(now, since time.Time, durations []time.Duration) Forecast {
	var longer []time.Duration
	longest := time.Duration(0)
	for _, d := range durations {
		longest = max(longest, d)
		if d > now.Sub(since) {
			longer = append(longer, d)
		}
	}
	if len(longer) == 0 {
		return At(now.Add(min(now.Sub(since)-longest, maxOverdue)))
	}
	slices.Sort(longer)
	return Forecast{Earliest: since.Add(longer[len(longer)/4]), Expected: since.Add(longer[len(longer)/2])}
}
