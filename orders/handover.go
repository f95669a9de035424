package orders

import (
	"context"
	"time"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/retry"
)

const (
	// nearTimeout bounds the wait for a replica to come near a primary that leaves, before its writes are stopped.
	nearTimeout = 3 * time.Second
	// nearLag is how many commits a replica may be behind to count as near.
	nearLag = 6
	// catchUpTimeout bounds the wait for a replica to catch up with a primary that gets no writes any more.
	catchUpTimeout = 1500 * time.Millisecond
)

// awaitNearlyCaughtUp waits until a replica is so near to a primary that leaves that it soon has all of its log.
func (r *replacement) awaitNearlyCaughtUp(ctx context.Context) {
	for until := clock.Now().Add(nearTimeout); clock.Now().Before(until); {
		state, err := r.s.status(r.old)
		if err != nil {
			return // It does not answer any more, so there is nothing to wait for.
		}
		near := state.Received
		near.Position -= min(near.Position, nearLag)
		if _, ok := elect.CaughtUp(r.inspect(model.InstanceConn.Status), near); ok {
			return
		}
		if !retry.Sleep(ctx, retryInterval) {
			return
		}
	}
}

// handOver lets a replica catch up with a primary that still answers and demotes the primary. A primary that answers is kept
// where no replica gets what it has, since a commit may have been acknowledged because of a replica that is gone.
func (r *replacement) handOver(ctx context.Context) (model.Instance, bool, error) {
	if !r.answered || r.stuck {
		return model.Instance{}, false, nil
	}
	if !r.newIntent || !r.pausedAt.IsZero() {
		// This run or an earlier one may have paused them.
		r.inspect(model.InstanceConn.Resume)
		r.pausedAt, r.inspectedAt, r.replicas = time.Time{}, time.Time{}, nil
	}
	if !r.caughtUp(ctx) {
		return model.Instance{}, false, errKept
	}
	state, err := r.demote()
	if err != nil {
		return model.Instance{}, false, nil
	}
	if target, ok := elect.CaughtUp(r.inspect(model.InstanceConn.Status), state.Received); ok {
		return target, true, nil
	}
	// A write came in between; only the old primary has it.
	return r.old, true, nil
}

// answers tells whether the old primary still leads its term.
func (r *replacement) answers() bool {
	state, err := r.s.status(r.old)
	return err == nil && state.Role == model.RolePrimary && state.Term == r.lead.Term
}

// caughtUp waits until a replica has everything that the old primary has.
func (r *replacement) caughtUp(ctx context.Context) bool {
	for until := clock.Now().Add(catchUpTimeout); clock.Now().Before(until); {
		state, err := r.s.status(r.old)
		if err != nil {
			return false
		}
		if _, ok := elect.CaughtUp(r.inspect(model.InstanceConn.Status), state.Received); ok {
			return true
		}
		if !retry.Sleep(ctx, pollInterval) {
			return false
		}
	}
	r.s.config.Log.Warn("no replica caught up with the old primary", "group", r.group, "instance", r.old.Name)
	return false
}

// demote stops writes at a primary that still answers.
func (r *replacement) demote() (model.InstanceState, error) {
	state, err := r.s.order(r.old, func(link model.InstanceConn, deadline time.Time) (model.InstanceState, error) {
		return link.Demote(deadline, r.lead.Next.Term)
	})
	r.s.config.Log.Info("old primary demoted", "group", r.group, "instance", r.old.Name, "term", r.lead.Next.Term, "received", state.Received, "error", err)
	return state, err
}
