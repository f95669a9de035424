package route

import "github.com/crocusshore/crocusshore/model"

// TermStarts returns the last log position before a term, and whether it is known.
type TermStarts func(model.Term) (model.Position, bool)

// MinPosition returns the position that an answer of a term must have reached to include what a session has observed. lost reports whether
// a failover cut off part of that: a position of an older term belongs to the history only up to the start of the term after it. known is
// false while the start of the term itself is not known, because its history is still being chosen.
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

// Covers reports whether an answer at a log position includes what a session has observed, and whether a failover cut off part of that.
func Covers(answer, seen model.Mark, starts TermStarts) (covered, lost bool) {
	if answer.Term < seen.Term {
		return false, false
	}
	minPosition, lost, known := MinPosition(seen, answer.Term, starts)
	return known && answer.Position >= minPosition, lost
}
