package probe

import "time"

// stateTTL is how long after the last question a detector still knows anything.
const stateTTL = 2 * time.Second

// Detector remembers when one target last answered, while it is being asked.
type Detector struct {
	lastAnswer time.Time
	firstAsked time.Time
	lastAsked  time.Time
	failures   int
}

// RecordProbe records that the target was asked; what was known before a long silence is forgotten.
func (d *Detector) RecordProbe(now time.Time) {
	if !d.probing(now) {
		*d = Detector{firstAsked: now}
	}
	d.lastAsked = now
}

// probing tells whether the target is being asked.
func (d *Detector) probing(now time.Time) bool {
	return !d.lastAsked.IsZero() && now.Sub(d.lastAsked) <= stateTTL
}

// RecordAnswer records an answer to a question sent at the given instant.
func (d *Detector) RecordAnswer(sentAt time.Time) {
	if sentAt.After(d.lastAnswer) {
		d.lastAnswer = sentAt
	}
	d.failures = 0
}

// RecordFailure records a question without an answer.
func (d *Detector) RecordFailure() { d.failures++ }

// Failing tells whether the last question had no answer.
func (d *Detector) Failing() bool { return d.failures > 0 }

// UnansweredFor returns how long the target has not answered, and whether it is being asked at all.
func (d *Detector) UnansweredFor(now time.Time) (time.Duration, bool) {
	if !d.probing(now) {
		return 0, false
	}
	if d.lastAnswer.IsZero() {
		return now.Sub(d.firstAsked), true
	}
	return now.Sub(d.lastAnswer), true
}

// Suspected tells whether the target is taken for failed: it did not answer for long enough and failed at least twice.
func (d *Detector) Suspected(now time.Time, after time.Duration) bool {
	age, asked := d.UnansweredFor(now)
	return asked && age >= after && d.failures >= 2
}
