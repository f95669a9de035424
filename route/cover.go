package route

import "github.com/crocusshore/crocusshore/model"

// TermStarts returns the last log position before a term, and whether it is known.
type TermStarts func(model.Term) (model.Position, bool)

// MinPosition returns the position that an answer of a term must have reached to include what a session has observed. lost reports whether
// a failover discarded part of that: the log entries of an older term are kept only up to the start of the term after it. known is false
// while the start of the term itself is not known, because it is not decided yet which log entries the term starts from.
func MinPosition(observed model.Mark, term model.Term, starts TermStarts) (minPosition model.Position, lost, known bool) {
	minPosition = observed.Position
	if observed.Term == 0 || observed.Term >= term {
		return minPosition, false, true
	}
	if _, startKnown := starts(term); !startKnown {
		return minPosition, false, false
	}
	for later := observed.Term + 1; later <= term; later++ {
		if start, ok := starts(later); ok && start < minPosition {
			minPosition, lost = start, true
		}
	}
	return minPosition, lost, true
}

// Covers reports whether an answer at a log position includes what a session has observed, and whether a failover discarded part of that.
func Covers(answer, observed model.Mark, starts TermStarts) (covered, lost bool) {
	if answer.Term < observed.Term {
		return false, false
	}
	minPosition, lost, known := MinPosition(observed, answer.Term, starts)
	return known && answer.Position >= minPosition, lost
}
