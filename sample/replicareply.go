package sample

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// ReplicaReply is the state that a replica answered to a request sent at At.
type ReplicaReply struct {
	At    time.Time
	State model.InstanceState
}

// FromReplicas returns the sample that follows from the answers of all replicas of a group in a term; asOf is an instant as of which the
// group had no other replicas. It returns false if replies is empty, or if one of the instances did not answer, is not a replica in the term, or
// holds nothing: such a replica may have started again, without the commits that it had confirmed.
//
// A commit is acknowledged only after one of the replicas received it. So the highest position that any of them has received covers every
// commit that was acknowledged before the first of them was asked, even if the primary is unreachable.
func FromReplicas(term model.Term, asOf time.Time, replies []ReplicaReply) (Sample, bool) {
	if len(replies) == 0 {
		return Sample{}, false
	}
	covered := Sample{At: asOf}
	for _, r := range replies {
		if r.State.Role != model.RoleReplica || r.State.Term != term || r.State.Received.Position == 0 {
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
