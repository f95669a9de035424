package elect

// meanStepsToFailure is after how many steps on average a primary fails whose predecessor has been replaced.
const meanStepsToFailure = 60

// simulatedTarget is the instance that the simulated holders order to be promoted, after each failure of a primary.
type simulatedTarget struct {
	// failure counts the failures. leads is set once an order after the present one was taken, and replaced once a holder has recorded that.
	failure         int
	leads, replaced bool
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
