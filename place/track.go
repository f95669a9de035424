package place

import (
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

const (
	// smoothing is the weight of one latency in the means.
	smoothing = 0.1
	// failedTime is how long after a failure an instance is the last choice, unless it answers.
	failedTime = 2 * time.Second
	// forgetTime is how long a slowness counts without new latencies.
	forgetTime = 3 * time.Second
	// failuresInARow without an answer in between leave an instance to one trial at a time.
	failuresInARow = 2
	// trialPause is the pause between trials of such an instance; one finds it back long before callers give up.
	trialPause = 200 * time.Millisecond
)

type (
	// Track keeps what this VM saw of the instances and heard of them; it is safe for concurrent use.
	Track struct {
		mu        sync.Mutex
		usual     map[model.RouteName]float64
		instances map[model.InstanceName]*seen
	}

	seen struct {
		slowness   float64
		observedAt time.Time
		failedAt   time.Time
		failures   int
		failingAt  time.Time
		answeredAt time.Time
		triedAt    time.Time
		// answers counts the direct latencies since the slowness was last forgotten.
		answers int
		// heard is what another VM told at heardAt.
		heard   Condition
		heardAt time.Time
	}

	// Latency is how long a statement of a route took.
	Latency struct {
		Route model.RouteName
		Took  time.Duration
		// Direct tells that it was measured by the VM with the connection, so that no wait for one is in it.
		Direct bool
	}

	// Health is what this VM saw of one instance.
	Health struct {
		// AnsweredAt is when the instance last answered anything; FailingSince is zero unless it failed since.
		AnsweredAt, FailingSince time.Time
		// Failures counts failures since the last answer.
		Failures int
	}
)

// NewTrack returns an empty track.
func NewTrack() *Track {
	return &Track{usual: map[model.RouteName]float64{}, instances: map[model.InstanceName]*seen{}}
}

// Answered records a statement that an instance answered after a latency.
func (t *Track) Answered(now time.Time, l Latency, instance model.InstanceName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.of(instance)
	s.alive(now)
	took := l.Took.Seconds()
	usual := t.usual[l.Route]
	if usual == 0 {
		usual = took
	}
	t.usual[l.Route] = usual + smoothing*(took-usual)
	ratio := min(took/max(usual, 1e-6), 10)
	if s.slowness == 0 || now.Sub(s.observedAt) > forgetTime {
		s.slowness, s.answers = 1, 0
	}
	if l.Direct {
		s.answers++
	}
	s.slowness += smoothing * (ratio - s.slowness)
	s.observedAt = now
}

// Alive records that an instance answered something whose latency says nothing.
func (t *Track) Alive(now time.Time, instance model.InstanceName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.of(instance).alive(now)
}

// Failed records that an instance could not be reached or did not answer.
func (t *Track) Failed(now time.Time, instance model.InstanceName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.of(instance)
	s.failedAt = now
	s.failures++
	if s.failingAt.IsZero() {
		s.failingAt = now
	}
}

// Try tells whether a statement may be tried on an instance. One that failed in a row gets a trial now and then, and what comes in
// between need not wait to fail too.
func (t *Track) Try(now time.Time, instance model.InstanceName) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.of(instance)
	if s.failures >= failuresInARow && now.Sub(s.triedAt) < trialPause {
		return false
	}
	s.triedAt = now
	return true
}

// Health returns what was seen of an instance.
func (t *Track) Health(instance model.InstanceName) Health {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.of(instance)
	return Health{AnsweredAt: s.answeredAt, FailingSince: s.failingAt, Failures: s.failures}
}

// Judge fills in what the track knows of a candidate.
func (t *Track) Judge(now time.Time, c Candidate) Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.of(c.Instance.Name)
	c.Slowness = 1
	if s.slowness > 0 && now.Sub(s.observedAt) <= forgetTime {
		c.Slowness = s.slowness
	}
	c.Failed = !s.failedAt.IsZero() && now.Sub(s.failedAt) < failedTime
	if now.Sub(s.heardAt) < conditionTime {
		c.Slowness = max(c.Slowness, s.heard.Slowness)
		c.Failed = c.Failed || (s.heard.Failing && s.answeredAt.Before(s.heardAt))
	}
	return c
}

func (t *Track) of(instance model.InstanceName) *seen {
	s := t.instances[instance]
	if s == nil {
		s = &seen{}
		t.instances[instance] = s
	}
	return s
}

// alive ends a spell of failures.
func (s *seen) alive(now time.Time) {
	s.answeredAt, s.failures, s.failingAt, s.failedAt = now, 0, time.Time{}, time.Time{}
}
