package world

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// Witnessed tells that a replica of a group was not paused for a term above the given one, as long ago as Age.
type Witnessed struct {
	Group model.GroupName
	Term  model.Term
	Age   time.Duration
}

// Witness records that at an instant a replica of a group was not paused for a term above the given one.
func (w *World) Witness(group model.GroupName, term model.Term, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state.Load().Leads[group].Term == term && at.After(w.witnessedAt[group]) {
		w.witnessedAt[group] = at
	}
}

// Witnessed returns what replicas proved within an age, for other VMs.
func (w *World) Witnessed(now time.Time, within time.Duration) []Witnessed {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []Witnessed
	for group, at := range w.witnessedAt {
		if age := now.Sub(at); age < within {
			all = append(all, Witnessed{Group: group, Term: w.state.Load().Leads[group].Term, Age: age})
		}
	}
	return all
}
