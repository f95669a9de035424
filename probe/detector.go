package probe

import "time"

// stateTTL is how long after the last probe a detector keeps its state.
const stateTTL = 2 * time.Second

// Detector records when one target last answered, as long as the target is being probed. It is not safe for concurrent use.
type Detector struct {
	lastAnswer  time.Time
	firstProbed time.Time
	lastProbed  time.Time
	failures    int
}

// RecordProbe records that a probe was sent. State from before a pause of more than stateTTL is discarded.
func (d *Detector) RecordProbe(now time.Time) {
	if !d.probing(now) {
		*d = Detector{firstProbed: now}
	}
	d.lastProbed = now
}

// probing reports whether the target is being probed.
func (d *Detector) probing(now time.Time) bool {
	return !d.lastProbed.IsZero() && now.Sub(d.lastProbed) <= stateTTL
}

// RecordAnswer records an answer to a probe sent at the given instant.
func (d *Detector) RecordAnswer(sentAt time.Time) {
	if sentAt.After(d.lastAnswer) {
		d.lastAnswer = sentAt
	}
	d.failures = 0
}

// RecordFailure records a probe without an answer.
func (d *Detector) RecordFailure() { d.failures++ }

// Failing reports whether the last probe had no answer.
func (d *Detector) Failing() bool { return d.failures > 0 }

// UnansweredFor returns how long the target has not answered, and whether it is being probed at all.
func (d *Detector) UnansweredFor(now time.Time) (time.Duration, bool) {
	if !d.probing(now) {
		return 0, false
	}
	if d.lastAnswer.IsZero() {
		return now.Sub(d.firstProbed), true
	}
	return now.Sub(d.lastAnswer), true
}

// Suspected reports whether the target is suspected: it has not answered for the given time, and at least two probes in a row failed.
func (d *Detector) Suspected(now time.Time, after time.Duration) bool {
	age, probed := d.UnansweredFor(now)
	return probed && age >= after && d.failures >= 2
}
