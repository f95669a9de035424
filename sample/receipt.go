package sample

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// ReplicaReply is what a replica answered to a question sent at an instant.
type ReplicaReply struct {
	At    time.Time
	State model.InstanceState
}

// FromReplicas returns the sample that the answers of all replicas of a group in a term prove; asOf is when they were known to be all.
//
// A commit is acknowledged only after one of the replicas received it. So what the furthest of them has received covers every commit
// that was acknowledged before the first of them was asked, also where the primary is out of reach.
func FromReplicas(term model.Term, asOf time.Time, replies []ReplicaReply) (Sample, bool) {
	if len(replies) == 0 {
		return Sample{}, false
	}
	covered := Sample{At: asOf}
	for _, r := range replies {
		if r.State.Role != model.RoleReplica || r.State.Term != term {
			return Sample{}, false
		}
		if r.At.Before(covered.At) {
			covered.At = r.At
		}
		if covered.Mark.Before(r.State.Received) {
			covered.Mark = r.State.Received
		}
	}
	return covered, covered.Mark != (model.Mark{})
}
