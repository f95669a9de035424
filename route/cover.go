package route

import "github.com/crocusshore/crocusshore/model"

// TermStarts returns the last position of the history before a term, and whether it is remembered.
type TermStarts func(model.Term) (model.Position, bool)

// MinPosition returns the position that an answer of a term needs to include what a session saw, and whether a
// failover lost part of that: a position of an older term is part of the history only up to the start of
// the term after it. It is not known while the start of the term itself is not: its history is being chosen.
func MinPosition(seen model.Mark, term model.Term, starts TermStarts) (minPosition model.Position, lost, known bool) {
	minPosition = seen.Position
	if seen.Term == 0 || seen.Term >= term {
		return minPosition, false, true
	}
	if _, startKnown := starts(term); !startKnown {
		return minPosition, false, false
	}
	for later := seen.Term + 1; later <= term; later++ {
		if start, remembered := starts(later); remembered && start < minPosition {
			minPosition, lost = start, true
		}
	}
	return minPosition, lost, true
}

// Covers tells whether an answer at a mark includes what a session saw.
func Covers(answer, seen model.Mark, starts TermStarts) (covered, lost bool) {
	if answer.Term < seen.Term {
		return false, false
	}
	minPosition, lost, known := MinPosition(seen, answer.Term, starts)
	return known && answer.Position >= minPosition, lost
}
