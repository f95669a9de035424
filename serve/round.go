package serve

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// round is a series of attempts at the instances that may run a statement, each at most once.
type round struct {
	tried map[model.InstanceName]bool
	// retryAfter is the time after which the first of them may take the statement; it is 0 if unknown.
	retryAfter time.Duration
	// failing is set while each of them fails.
	failing bool
}

func newRound() *round { return &round{tried: map[model.InstanceName]bool{}, failing: true} }

// add records an attempt.
func (r *round) add(instance model.InstanceName, a attempt) {
	r.tried[instance] = true
	r.failing = r.failing && isFailing(a.err)
	if a.retryAfter > 0 && (r.retryAfter == 0 || a.retryAfter < r.retryAfter) {
		r.retryAfter = a.retryAfter
	}
}

// roundRetryAfter returns the time after which one of the instances of a round may take the operation's statement; it is 0 if unknown. If all of
// them fail, they are expected to answer as they did after earlier failures. primary is set if only the primary was to be tried.
func (c *callerSession) roundRetryAfter(op operation, r *round, primary bool) time.Duration {
	if !r.failing || len(r.tried) == 0 {
		return r.retryAfter
	}
	return c.failingRetryAfter(op, primary)
}
