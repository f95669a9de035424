package sample

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// Receipt is what a replica answered to a question sent at an instant.
type Receipt struct {
	At    time.Time
	State model.InstanceState
}

// Received returns the sample that the answers of all replicas of a group in a term prove; asOf is when they were known to be all.
//
// A commit is acknowledged only after one of the replicas received it. So what the furthest of them has received covers every commit
// that was acknowledged before the first of them was asked, also where the primary is out of reach.
func Received(term model.Term, asOf time.Time, receipts []Receipt) (Sample, bool) {
	if len(receipts) == 0 {
		return Sample{}, false
	}
	proven := Sample{At: asOf}
	for _, r := range receipts {
		if r.State.Role != model.RoleReplica || r.State.Term != term {
			return Sample{}, false
		}
		if r.At.Before(proven.At) {
			proven.At = r.At
		}
		if proven.Mark.Before(r.State.Received) {
			proven.Mark = r.State.Received
		}
	}
	return proven, proven.Mark != (model.Mark{})
}
