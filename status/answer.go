package status

import (
	"net/netip"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

const (
	// failureTTL is how long the failure of a request is shared after its end. It is shorter than the pause after which a VM asks again, so that
	// no VM counts one failure twice.
	failureTTL = 100 * time.Millisecond

	// sourceAsked means that the instance was asked.
	sourceAsked source = "Asked"
	// sourceJoined means that a request that was under way answered for several.
	sourceJoined source = "Joined"
	// sourceKept means that an earlier answer, or an earlier failure, was recent enough.
	sourceKept source = "Kept"
	// sourceStatement means that the answer of a primary to a statement was recent enough.
	sourceStatement source = "Statement"
)

type (
	// Answer is the result of one status request to an instance.
	Answer struct {
		// State is what the instance answered; it counts as of At, when the request was sent.
		State model.InstanceState
		At    time.Time
		// EndedAt is when the result was known.
		EndedAt time.Time
		// Err is set if there is no answer.
		Err error
	}

	// source is where the answer to a request came from; it is a tag of the metrics.
	source string

	// record is the newest result for one instance.
	record struct {
		// address and startedAt tell an instance from another one, or another start, of the same name.
		address   netip.AddrPort
		startedAt time.Time
		// answer is zero if there is none yet; statement is set if it comes from the answer to a statement.
		answer    Answer
		statement bool
		// asking is the last request that is under way, or nil.
		asking *question
	}

	// question is a status request that is under way; answer is set once done is closed.
	question struct {
		beganAt time.Time
		done    chan struct{}
		answer  Answer
	}
)

// serves reports whether the result may answer a request that allows a state of an age. The age of a failure counts from its end, since an instance
// that does not answer is found out only at the end of a time-out.
func (r *record) serves(now time.Time, maxAge time.Duration) bool {
	switch {
	case maxAge <= 0 || r.answer.EndedAt.IsZero():
		return false
	case r.answer.Err != nil:
		return now.Sub(r.answer.EndedAt) < min(maxAge, failureTTL)
	default:
		return now.Sub(r.answer.At) <= maxAge
	}
}

// joins reports whether a request that allows a state of an age may wait for the one that is under way.
func (r *record) joins(now time.Time, maxAge time.Duration) bool {
	return maxAge > 0 && r.asking != nil && now.Sub(r.asking.beganAt) <= maxAge
}

// update replaces the result by a newer one.
func (r *record) update(answer Answer, statement bool) {
	if answer.At.After(r.answer.At) {
		r.answer, r.statement = answer, statement
	}
}

// matches reports whether the result is that of the present start of an instance.
func (r *record) matches(instance model.Instance) bool {
	return r.address == instance.Address && r.startedAt.Equal(instance.StartedAt)
}

// keptSource returns the source of an answer that is shared.
func (r *record) keptSource() source {
	if r.statement {
		return sourceStatement
	}
	return sourceKept
}
