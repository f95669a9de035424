package place

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
)

const (
	// conditionTTL bounds how long an observation of one VM counts at others; it spans two requests to the reader of a failure domain.
	conditionTTL = 1500 * time.Millisecond
	// minReportedSlowness is the lowest slowness at which an instance is reported to other VMs.
	minReportedSlowness = 1.5
	// minDirectLatencies is how many direct latencies must be measured before an instance is reported as slow.
	minDirectLatencies = 8
)

// Condition states that an instance does worse than usual, as observed by a VM that sends it many statements.
type Condition struct {
	Instance model.InstanceName
	Slowness float64
	// Failing reports that it failed several times in a row.
	Failing bool
	// Age is the time since the observation.
	Age time.Duration
}

// Observed returns the instances that this VM recently observed to do worse than usual.
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

// Conditions returns the instances that recently did worse than usual, as observed by this VM or reported by others.
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

// RecordReported records an observation of another VM unless one that is as new or newer is recorded. It returns true if the observation
// was recorded and is newer than the previous one by conditionTTL or more.
func (t *Tracker) RecordReported(now time.Time, c Condition) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats(c.Instance)
	at := now.Add(-c.Age)
	if !at.After(s.reportedAt) {
		return false
	}
	isNew := at.Sub(s.reportedAt) >= conditionTTL
	s.reported, s.reportedAt = c, at
	return isNew
}

func (s *instanceStats) condition(now time.Time) (Condition, bool) {
	c := Condition{Slowness: 1, Age: now.Sub(s.observedAt)}
	if s.directLatencies >= minDirectLatencies && c.Age < conditionTTL {
		c.Slowness = s.slowness
	}
	if s.failures >= minConsecutiveFailures && now.Sub(s.failedAt) < conditionTTL {
		c.Failing, c.Age = true, now.Sub(s.failedAt)
	}
	return c, c.Failing || c.Slowness >= minReportedSlowness
}
