package probe

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// Vote is what one VM of a failure domain, or the whole domain, has observed of a target.
type Vote struct {
	Domain model.Domain
	// Probed is set if a VM of the domain that had probed the target answered. Otherwise the vote does not count.
	Probed bool
	// UnansweredFor is how long the target has not answered.
	UnansweredFor time.Duration
}

// Failed reports whether a majority of all failure domains has not reached the target for the given time. A domain has reached it if
// UnansweredFor is shorter than that in any of its votes that count.
//
// A domain that did not probe the target does not count as one that has not reached it, so that an isolated VM cannot make a target
// count as failed.
func Failed(votes []Vote, domains int, after time.Duration) bool {
	unreachedBy := map[model.Domain]bool{}
	for _, vote := range votes {
		if !vote.Probed {
			continue
		}
		unreached, counted := unreachedBy[vote.Domain]
		unreachedBy[vote.Domain] = vote.UnansweredFor >= after && (unreached || !counted)
	}
	count := 0
	for _, unreached := range unreachedBy {
		if unreached {
			count++
		}
	}
	return count >= domains/2+1
}
