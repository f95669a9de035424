package probe

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// Vote is what one failure domain knows of a target.
type Vote struct {
	Domain model.Domain
	// Probed is false where no VM of the domain answered or had asked the target.
	Probed        bool
	UnansweredFor time.Duration
}

// Failed tells whether a majority of all failure domains has not reached the target for the given time.
//
// A silent domain does not count as a witness, so that a VM which is cut off cannot condemn anyone.
func Failed(votes []Vote, domains int, after time.Duration) bool {
	witnesses := map[model.Domain]bool{}
	for _, vote := range votes {
		if !vote.Probed {
			continue
		}
		suspects, seen := witnesses[vote.Domain]
		witnesses[vote.Domain] = vote.UnansweredFor >= after && (suspects || !seen)
	}
	count := 0
	for _, suspects := range witnesses {
		if suspects {
			count++
		}
	}
	return count >= domains/2+1
}
