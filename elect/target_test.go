package elect

import "time"

const (
	// meanStepsToFailure is after how many steps on average a primary fails whose predecessor has been replaced.
	meanStepsToFailure = 60
	// maxEffectDelay bounds the time between the taking of an order and its effect, and effectTimeout is for how long a holder awaits the effect.
	maxEffectDelay, effectTimeout = 800 * time.Millisecond, 2500 * time.Millisecond
)

// simulatedTarget is the instance that the simulated holders order to be promoted, after each failure of a primary.
type simulatedTarget struct {
	// failure counts the failures. leads is set once an order after the present one was taken, and replaced once a holder has recorded that.
	failure         int
	leads, replaced bool
	// leadsAt are the instants at which orders that were taken have their effect.
	leadsAt []time.Time
}

// take records that an order was taken, which was sent after a failure.
func (t *simulatedTarget) take(failure int, effectAt time.Time) {
	if failure == t.failure {
		t.leadsAt = append(t.leadsAt, effectAt)
	}
}

// update lets the orders that were taken have their effect.
func (t *simulatedTarget) update(now time.Time) {
	for _, at := range t.leadsAt {
		t.leads = t.leads || !at.After(now)
	}
}

// ask returns whether the target leads, as far as it answers; it often does not.
func (s *orderSchedule) ask() (leads, answers bool) {
	answers = !s.chance(3)
	return answers && s.target.leads, answers
}

// fail lets the new primary fail some time after it is recorded.
func (s *orderSchedule) fail() {
	if s.target.replaced && s.chance(meanStepsToFailure) {
		s.target = simulatedTarget{failure: s.target.failure + 1}
	}
}
