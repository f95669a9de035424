package report

import (
	"slices"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/tree"
)

// excludedReasons are the reasons of refusals for which the service is not at fault. Such refusals are not counted.
var excludedReasons = []model.Reason{
	model.ReasonBadRequest, model.ReasonBadToken, model.ReasonNoKey, model.ReasonUnknownKey, model.ReasonNoRoute,
	model.ReasonOtherTeam, model.ReasonOverRate, model.ReasonStatement, model.ReasonNoTransaction, model.ReasonNotRecorded,
}

// Request is a request to be counted.
type Request struct {
	Team    model.TeamName
	Route   model.RouteName
	Outcome model.Outcome
	Reason  model.Reason
	Latency time.Duration
}

type seriesKey struct {
	team  model.TeamName
	route model.RouteName
}

// Recorder counts the requests of one VM; it is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	series map[seriesKey]*Series
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{series: map[seriesKey]*Series{}}
}

// Add counts a request that ended now against the settings of its route, unless its reason is one of excludedReasons.
func (r *Recorder) Add(now time.Time, request Request, settings tree.Settings) {
	if slices.Contains(excludedReasons, request.Reason) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	key := seriesKey{request.Team, request.Route}
	series := r.series[key]
	if series == nil {
		series = &Series{Team: request.Team, Route: request.Route}
		r.series[key] = series
	}
	series.Availability, series.LatencyShare = settings.Availability, settings.LatencyShare
	slot := series.slotAt(now)
	slot.Total++
	switch {
	case request.Outcome != model.Done:
		slot.Failed++
	case request.Latency > settings.LatencyTarget:
		slot.Slow++
	}
}

// slotAt returns the slot for now, and drops the slots that started more than Retention ago.
func (s *Series) slotAt(now time.Time) *Slot {
	start := now.Truncate(SlotDuration)
	if n := len(s.Slots); n == 0 || s.Slots[n-1].Start.Before(start) {
		s.Slots = append(s.Slots, Slot{Start: start})
	}
	oldest := now.Add(-Retention)
	for len(s.Slots) > 0 && s.Slots[0].Start.Before(oldest) {
		s.Slots = s.Slots[1:]
	}
	return &s.Slots[len(s.Slots)-1]
}

// Series returns a copy of all counts, sorted by team and route.
func (r *Recorder) Series() []Series {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []Series
	for _, series := range r.series {
		clone := *series
		clone.Slots = slices.Clone(series.Slots)
		all = append(all, clone)
	}
	return Merge(all)
}
