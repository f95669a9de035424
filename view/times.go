package view

import (
	"slices"
	"time"
)

func sortTimes(times []time.Time) {
	slices.SortFunc(times, time.Time.Compare)
}
