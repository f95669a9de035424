package place

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
)

const (
	// conditionTTL is how long what a VM saw of an instance counts for others; it covers two questions to the reader of a failure domain.
	conditionTTL = 1500 * time.Millisecond
	// minReportedSlowness is the slowness from which on others are told of an instance.
	minReportedSlowness = 1.5
	// minAnswers is how many latencies it takes to tell others that an instance is slow.
	minAnswers = 8
)

// Condition tells that an instance does worse than usual, as seen by a VM that sends it much.
type Condition struct {
	Instance model.InstanceName
	Slowness float64
	// Failing tells that it failed in a row.
	Failing bool
	// Age is how long ago it was seen.
	Age time.Duration
}

// Observed returns the instances that this VM saw do worse than usual lately.
func (t *Tracker) Observed(now time.Time) []Condition {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Condition
	for name, s := range t.instances {
		if c, unusual := s.condition(now); unusual {
			c.Instance = name
			all = append(all, c)
		}
	}
	return all
}

// Conditions returns the instances that this VM saw or heard to do worse than usual lately.
func (t *Tracker) Conditions(now time.Time) []Condition {
	all := t.Observed(now)
	seen := map[model.InstanceName]bool{}
	for _, c := range all {
		seen[c.Instance] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, s := range t.instances {
		if age := now.Sub(s.reportedAt); !seen[name] && age < conditionTTL {
			c := s.reported
			c.Age = age
			all = append(all, c)
		}
	}
	return all
}

// RecordReported records what another VM saw, unless something newer is known, and tells whether it is news.
func (t *Tracker) RecordReported(now time.Time, c Condition) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats(c.Instance)
	at := now.Add(-c.Age)
	if !at.After(s.reportedAt) {
		return false
	}
	news := at.Sub(s.reportedAt) >= conditionTTL
	s.reported, s.reportedAt = c, at
	return news
}

func (s *instanceStats) condition(now time.Time) (Condition, bool) {
	c := Condition{Slowness: 1, Age: now.Sub(s.observedAt)}
	if s.answers >= minAnswers && c.Age < conditionTTL {
		c.Slowness = s.slowness
	}
	if s.failures >= minConsecutiveFailures && now.Sub(s.failedAt) < conditionTTL {
		c.Failing, c.Age = true, now.Sub(s.failedAt)
	}
	return c, c.Failing || c.Slowness >= minReportedSlowness
}
