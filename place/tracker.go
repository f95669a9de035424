package place

import (
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

const (
	// smoothing is the weight of one latency in the moving averages.
	smoothing = 0.1
	// maxOutlier bounds the effect of a single statement on the usual work, as a multiple of it.
	maxOutlier = 4
	// failureTTL is how long after a failure an instance ranks last, unless it answers.
	failureTTL = 2 * time.Second
	// slownessTTL is how long a measured slowness counts without new latencies.
	slownessTTL = 3 * time.Second
	// minConsecutiveFailures is the number of failures in a row after which an instance gets only one attempt every AttemptInterval.
	minConsecutiveFailures = 2
	// AttemptInterval is the pause between attempts at such an instance. It is so short that an attempt detects the recovery of the instance
	// long before callers give up.
	AttemptInterval = 200 * time.Millisecond
)

type (
	// Tracker keeps what this VM observed of the instances and what other VMs reported; it is safe for concurrent use.
	Tracker struct {
		mu sync.Mutex
		// usualLatency is the moving average of the latencies of each route, and usualWork that of the time that instances took, in seconds.
		usualLatency map[model.RouteName]float64
		usualWork    map[model.RouteName]float64
		instances    map[model.InstanceName]*instanceStats
	}

	// instanceStats is the record of one instance.
	instanceStats struct {
		// slowness is the moving average of the ratio of a latency to the usual one of its route, and observedAt is when it last changed.
		slowness     float64
		observedAt   time.Time
		failedAt     time.Time
		failures     int
		failingSince time.Time
		answeredAt   time.Time
		attemptedAt  time.Time
		// directLatencies counts the direct latencies since the slowness was last reset.
		directLatencies int
		// reported is what another VM observed at reportedAt.
		reported   Condition
		reportedAt time.Time
		// fullUntil is until when all slots of the instance are expected to be in use.
		fullUntil time.Time
		// lacks is the lowest log position that the instance was found to lack since laggingSince; it was last found so at laggingAt. It is zero
		// if the instance is not known to lack any.
		lacks                   model.Mark
		laggingSince, laggingAt time.Time
		// askedAt is when a statement took the question whether the instance still lacks it; it is zero if none has.
		askedAt time.Time
	}

	// Latency is how long a statement of a route took.
	Latency struct {
		Route model.RouteName
		Took  time.Duration
		// Work is the part of it that the instance took, without waits for a connection; it is 0 if unknown.
		Work time.Duration
		// Direct reports that it was measured by the VM with the connection, so that it includes no wait for a connection.
		Direct bool
	}

	// Health is what this VM observed of one instance.
	Health struct {
		// AnsweredAt is when the instance last answered anything; FailingSince is when it first failed after that, or zero.
		AnsweredAt, FailingSince time.Time
		// Failures counts failures since the last answer.
		Failures int
		// ReportedFailing is set if another VM reported lately that the instance fails, and it has not answered this VM since.
		ReportedFailing bool
	}
)

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{usualLatency: map[model.RouteName]float64{}, usualWork: map[model.RouteName]float64{}, instances: map[model.InstanceName]*instanceStats{}}
}

// RecordAnswer records the latency of a statement that an instance answered.
func (t *Tracker) RecordAnswer(now time.Time, l Latency, instance model.InstanceName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats(instance)
	s.recordAlive(now)
	if l.Work > 0 {
		t.recordWork(l.Route, l.Work.Seconds())
	}
	took := l.Took.Seconds()
	usual := recordMean(t.usualLatency, l.Route, took)
	ratio := min(took/max(usual, 1e-6), 10)
	if s.slowness == 0 || now.Sub(s.observedAt) > slownessTTL {
		s.slowness, s.directLatencies = 1, 0
	}
	if l.Direct {
		s.directLatencies++
	}
	s.slowness += smoothing * (ratio - s.slowness)
	s.observedAt = now
}

// recordMean adds a sample to the moving average of a route, and returns the average before it or, if there was none, the sample.
func recordMean(means map[model.RouteName]float64, route model.RouteName, sample float64) float64 {
	mean, known := means[route]
	if !known {
		mean = sample
	}
	means[route] = mean + smoothing*(sample-mean)
	return mean
}

// recordWork adds a sample to the usual work of a route. A statement that stalled counts as maxOutlier times the usual work at most.
func (t *Tracker) recordWork(route model.RouteName, work float64) {
	if usual, known := t.usualWork[route]; known {
		work = min(work, maxOutlier*usual)
	}
	recordMean(t.usualWork, route, work)
}

// UsualWork returns how long instances usually take for a statement of a route; it is 0 if unknown.
func (t *Tracker) UsualWork(route model.RouteName) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.usualWork[route] * float64(time.Second))
}

// RecordAlive records that an instance answered. It records no latency, since the latency of this answer is not comparable with others.
func (t *Tracker) RecordAlive(now time.Time, instance model.InstanceName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats(instance).recordAlive(now)
}

// RecordFull records that an instance had no slot for a statement of a route. Each of its slots comes free in the time that such a statement
// usually takes.
func (t *Tracker) RecordFull(now time.Time, route model.RouteName, instance model.InstanceName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats(instance).fullUntil = now.Add(time.Duration(t.usualWork[route] * float64(time.Second)))
}

// RecordLagging records that an instance lacks a log position; it then lacks all later ones.
func (t *Tracker) RecordLagging(now time.Time, instance model.InstanceName, mark model.Mark) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats(instance).recordLagging(now, mark)
}

// RecordMark records that the log of an instance reaches a position.
func (t *Tracker) RecordMark(instance model.InstanceName, mark model.Mark) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.stats(instance); !mark.Before(s.lacks) {
		s.lacks = model.Mark{}
	}
}

// RecordFailure records that an instance could not be reached or did not answer.
func (t *Tracker) RecordFailure(now time.Time, instance model.InstanceName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats(instance)
	s.failedAt = now
	s.failures++
	if s.failingSince.IsZero() {
		s.failingSince = now
	}
}

// TakeAttempt reports whether a statement may be sent to an instance; if so, it records an attempt. After minConsecutiveFailures failures in a
// row an instance gets one attempt every AttemptInterval, so that the statements in between do not have to wait for a time-out too.
func (t *Tracker) TakeAttempt(now time.Time, instance model.InstanceName) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats(instance)
	if s.failures >= minConsecutiveFailures && now.Sub(s.attemptedAt) < AttemptInterval {
		return false
	}
	s.attemptedAt = now
	return true
}

// Health returns what this VM observed of an instance.
func (t *Tracker) Health(now time.Time, instance model.InstanceName) Health {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats(instance)
	return Health{AnsweredAt: s.answeredAt, FailingSince: s.failingSince, Failures: s.failures, ReportedFailing: s.isReportedFailing(now)}
}

// Assess returns the candidate with Slowness, Failed, Full and Lagging set from what this VM observed and what others reported.
func (t *Tracker) Assess(now time.Time, c Candidate) Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats(c.Instance.Name)
	c.Slowness = 1
	if s.slowness > 0 && now.Sub(s.observedAt) <= slownessTTL {
		c.Slowness = s.slowness
	}
	c.Failed = !s.failedAt.IsZero() && now.Sub(s.failedAt) < failureTTL
	if now.Sub(s.reportedAt) < conditionTTL {
		c.Slowness = max(c.Slowness, s.reported.Slowness)
	}
	c.Failed = c.Failed || s.isReportedFailing(now)
	c.Full = now.Before(s.fullUntil)
	c.Lagging = s.isLagging(now, c.Since)
	return c
}

// isReportedFailing reports whether another VM lately observed the instance to fail, and it has not answered this VM since.
func (s *instanceStats) isReportedFailing(now time.Time) bool {
	return s.reported.Failing && now.Sub(s.reportedAt) < conditionTTL && s.answeredAt.Before(s.reportedAt)
}

// isLagging reports whether the instance is expected to lack a log position. One that was found to lag is asked again after as long again as it has
// lagged, and after AttemptInterval at the latest.
func (s *instanceStats) isLagging(now time.Time, since model.Mark) bool {
	return s.lackedUpTo(since) && now.Sub(s.laggingAt) < min(s.laggingAt.Sub(s.laggingSince), AttemptInterval)
}

func (t *Tracker) stats(instance model.InstanceName) *instanceStats {
	s := t.instances[instance]
	if s == nil {
		s = &instanceStats{}
		t.instances[instance] = s
	}
	return s
}

// recordAlive records an answer, which ends a series of failures.
func (s *instanceStats) recordAlive(now time.Time) {
	s.answeredAt, s.failures, s.failingSince, s.failedAt = now, 0, time.Time{}, time.Time{}
}
