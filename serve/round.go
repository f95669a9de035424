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
}

func newRound() *round { return &round{tried: map[model.InstanceName]bool{}} }

// add records an attempt.
func (r *round) add(instance model.InstanceName, a attempt) {
	r.tried[instance] = true
	if a.retryAfter > 0 && (r.retryAfter == 0 || a.retryAfter < r.retryAfter) {
		r.retryAfter = a.retryAfter
	}
}
