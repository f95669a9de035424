package world

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// TermCheck tells that a replica of a group was not paused for a term above the given one, as long ago as Age.
type TermCheck struct {
	Group model.GroupName
	Term  model.Term
	Age   time.Duration
}

// RecordTermCheck records that at an instant a replica of a group was not paused for a term above the given one.
func (w *Cache) RecordTermCheck(group model.GroupName, term model.Term, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state.Load().Primaries[group].Term == term && at.After(w.termCheckedAt[group]) {
		w.termCheckedAt[group] = at
	}
}

// TermChecks returns what replicas proved within an age, for other VMs.
func (w *Cache) TermChecks(now time.Time, within time.Duration) []TermCheck {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []TermCheck
	for group, at := range w.termCheckedAt {
		if age := now.Sub(at); age < within {
			all = append(all, TermCheck{Group: group, Term: w.state.Load().Primaries[group].Term, Age: age})
		}
	}
	return all
}
