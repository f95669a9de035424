package state

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// TermCheck states that, at the time Age ago, a replica of a group was not paused for a term above Term.
type TermCheck struct {
	Group model.GroupName
	Term  model.Term
	Age   time.Duration
}

// RecordTermCheck records that, at an instant, a replica of a group was not paused for a term above the given one. It is evidence for
// leases in that term only.
func (c *Cache) RecordTermCheck(group model.GroupName, term model.Term, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot.Load().Primaries[group].Term == term && at.After(c.termCheckedAt[group]) {
		c.termCheckedAt[group] = at
	}
}

// TermChecks returns the newest term check of each group if it is younger than within, to be forwarded to other VMs.
func (c *Cache) TermChecks(now time.Time, within time.Duration) []TermCheck {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []TermCheck
	for group, at := range c.termCheckedAt {
		if age := now.Sub(at); age < within {
			all = append(all, TermCheck{Group: group, Term: c.snapshot.Load().Primaries[group].Term, Age: age})
		}
	}
	return all
}
