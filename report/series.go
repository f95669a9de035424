package report

import (
	"slices"
	"strings"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

const (
	// SlotDuration is the length of a slot.
	SlotDuration = 10 * time.Second
	// Retention is how long slots are kept.
	Retention = time.Hour
)

type (
	// Slot counts the requests that ended within one slot. Total includes Failed and Slow.
	Slot struct {
		Start time.Time
		Total int64
		// Failed counts the requests that were not done.
		Failed int64
		// Slow counts the requests that were done but exceeded the latency target.
		Slow int64
	}
	// Series counts the requests of one team on one route, with the objectives for them.
	Series struct {
		Team  model.TeamName
		Route model.RouteName
		// Availability is the share of the requests that must be done.
		Availability float64
		// LatencyShare is the share of the done requests that must not exceed the latency target.
		LatencyShare float64
		Slots        []Slot
	}
)

// Merge adds up the series of several VMs by team and route, and sorts the result by team and route.
func Merge(lists ...[]Series) []Series {
	type key struct {
		team  model.TeamName
		route model.RouteName
	}
	merged := map[key]*Series{}
	for _, list := range lists {
		for _, series := range list {
			k := key{series.Team, series.Route}
			if merged[k] == nil {
				merged[k] = &Series{Team: series.Team, Route: series.Route, Availability: series.Availability, LatencyShare: series.LatencyShare}
			}
			merged[k].Slots = mergeSlots(merged[k].Slots, series.Slots)
		}
	}
	all := make([]Series, 0, len(merged))
	for _, series := range merged {
		all = append(all, *series)
	}
	slices.SortFunc(all, func(a, b Series) int {
		return strings.Compare(string(a.Team)+"\x00"+string(a.Route), string(b.Team)+"\x00"+string(b.Route))
	})
	return all
}

func mergeSlots(a, b []Slot) []Slot {
	byStart := map[int64]Slot{}
	for _, slot := range append(slices.Clone(a), b...) {
		sum := byStart[slot.Start.UnixNano()]
		sum.Start = slot.Start
		sum.Total += slot.Total
		sum.Failed += slot.Failed
		sum.Slow += slot.Slow
		byStart[slot.Start.UnixNano()] = sum
	}
	slots := make([]Slot, 0, len(byStart))
	for _, slot := range byStart {
		slots = append(slots, slot)
	}
	slices.SortFunc(slots, func(x, y Slot) int { return x.Start.Compare(y.Start) })
	return slots
}
