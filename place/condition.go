package place

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
)

const (
	// conditionTime is how long what a VM saw of an instance counts for others; it covers two questions to the reader of a failure domain.
	conditionTime = 1500 * time.Millisecond
	// slowFrom is the slowness from which on others are told of an instance.
	slowFrom = 1.5
	// leastAnswers is how many latencies it takes to tell others that an instance is slow.
	leastAnswers = 8
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

// Saw returns the instances that this VM saw do worse than usual lately.
func (t *Track) Saw(now time.Time) []Condition {
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

// Knows returns the instances that this VM saw or heard to do worse than usual lately.
func (t *Track) Knows(now time.Time) []Condition {
	all := t.Saw(now)
	seen := map[model.InstanceName]bool{}
	for _, c := range all {
		seen[c.Instance] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, s := range t.instances {
		if age := now.Sub(s.heardAt); !seen[name] && age < conditionTime {
			c := s.heard
			c.Age = age
			all = append(all, c)
		}
	}
	return all
}

// Hear records what another VM saw, unless something newer is known, and tells whether it is news.
func (t *Track) Hear(now time.Time, c Condition) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.of(c.Instance)
	at := now.Add(-c.Age)
	if !at.After(s.heardAt) {
		return false
	}
	news := at.Sub(s.heardAt) >= conditionTime
	s.heard, s.heardAt = c, at
	return news
}

func (s *seen) condition(now time.Time) (Condition, bool) {
	c := Condition{Slowness: 1, Age: now.Sub(s.observedAt)}
	if s.answers >= leastAnswers && c.Age < conditionTime {
		c.Slowness = s.slowness
	}
	if s.failures >= failuresInARow && now.Sub(s.failedAt) < conditionTime {
		c.Failing, c.Age = true, now.Sub(s.failedAt)
	}
	return c, c.Failing || c.Slowness >= slowFrom
}
