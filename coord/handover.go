package coord

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/retry"
)

const (
	// nearTimeout bounds the wait for a replica to nearly catch up with a leaving primary, before writes to it are stopped.
	nearTimeout = 3 * time.Second
	// nearLag bounds how many commits a replica that has nearly caught up may be behind.
	nearLag = 6
	// catchUpTimeout bounds the wait for a replica to catch up with a primary that receives no more writes.
	catchUpTimeout = 1500 * time.Millisecond
)

var (
	// errNotDemoted ends a run whose DEMOTE did not apply.
	errNotDemoted = errors.New("the old primary leads the announced term or a later one")
	// errMayBeReplaced ends a run that can neither replace nor keep the old primary.
	errMayBeReplaced = errors.New("an instance that does not answer may have been promoted by an earlier order")
)

// awaitNearlyCaughtUp waits, for at most nearTimeout, until a replica has the log of a leaving primary except for nearLag commits.
func (r *replacement) awaitNearlyCaughtUp(ctx context.Context) {
	for until := clock.Now().Add(nearTimeout); clock.Now().Before(until); {
		state, err := r.s.status(r.old)
		if err != nil {
			return // The primary no longer answers, so there is nothing to wait for.
		}
		near := state.Received
		near.Position -= min(near.Position, nearLag)
		if _, ok := elect.FindCaughtUp(r.handOverReplicas(r.callReplicas(model.InstanceConn.Status)), near); ok {
			return
		}
		if !retry.Sleep(ctx, retryInterval) {
			return
		}
	}
}

// handOver lets a replica catch up with a primary that still answers, and demotes the primary, if that is possible. If no replica catches up with
// a primary that answers, it returns errKept: a commit may have been acknowledged because a replica received it, and that replica may have
// been removed. If an earlier order may have promoted another instance, it returns errMayBeReplaced, and if it promoted the primary itself,
// errNotDemoted; the next run looks for the instance that leads.
func (r *replacement) handOver(ctx context.Context) error {
	if !r.answered || r.stuck {
		return nil
	}
	if !r.newIntent || !r.pausedAt.IsZero() {
		// This run or an earlier one may have paused the replicas.
		if err := r.resumeReplicas(ctx); err != nil {
			return err
		}
		r.pausedAt, r.pauseTriedAt, r.replicas = time.Time{}, time.Time{}, nil
	}
	if !r.awaitCaughtUp(ctx) {
		if r.mayBeReplaced() {
			return errMayBeReplaced
		}
		return errKept
	}
	state, err := r.demote()
	if err == nil && state.Role == model.RolePrimary {
		return errNotDemoted
	}
	r.handedOver = err == nil && !state.Received.Before(r.final)
	r.final = state.Received
	if r.handedOver && (!r.allReleased() || r.record.Next.Final != nil) {
		return r.recordFinal(ctx)
	}
	return nil
}

// recordFinal adds the end of the demoted primary's log to the announcement, before the wait for the leases: the old primary may leave for good, and the
// replicas alone need not show that they have everything.
func (r *replacement) recordFinal(ctx context.Context) error {
	next, intent, final := r.record, *r.record.Next, r.final
	intent.Final = &final
	next.Next = &intent
	version, err := r.writeRecord(ctx, next)
	r.s.config.Log.Info("demotion recorded", "group", r.group, "instance", r.old.Name, "final", r.final, "row-version", version, "error", err)
	if err != nil {
		return errors.Wrap(err, "recording the demotion")
	}
	next.Version = version
	r.record = next
	return nil
}

// findDemoted returns the old primary if it was demoted and still has its log. It is asked only if needed, and only if this run or an earlier one may have
// demoted it, since one that failed would delay the comparison. One that has started again holds nothing.
func (r *replacement) findDemoted(needed bool) (elect.Replica, bool) {
	mayBeDemoted := !r.newIntent || r.demoteOrdered || r.old.Role == model.RoleReplica
	if !needed || !r.oldKnown || !mayBeDemoted {
		return elect.Replica{}, false
	}
	reported, err := r.s.status(r.old)
	if err != nil || reported.Role != model.RoleReplica || reported.Term != r.record.Term || reported.Received.Position == 0 {
		return elect.Replica{}, false
	}
	return replicaOf(r.old, reported, nil), true
}

// mayBeReplaced reports whether an instance may lead the announced term by an order of an earlier run. One that does not answer may: the old primary
// goes on until it reaches the new one, and then drops what it has acknowledged.
func (r *replacement) mayBeReplaced() bool {
	if r.newIntent {
		return false
	}
	replicas := r.callReplicas(model.InstanceConn.Status)
	_, leads := elect.FindPromoted(replicas, r.record.Next.Term)
	return leads || !elect.AllPaused(replicas)
}

// handOverTarget returns an instance that has the full log of the demoted primary. It asks the instances just before the promotion, since one
// that had the log may have started again, with an empty one, while the leases ran out. If no instance has the log, the replicas have to
// be compared. One that leads the announced term, by an earlier order, is the target whatever the others have.
func (r *replacement) handOverTarget() (model.Instance, bool) {
	replicas := r.callReplicas(model.InstanceConn.Status)
	if promoted, found := elect.FindPromoted(replicas, r.record.Next.Term); found {
		return promoted.Instance, true
	}
	if target, ok := elect.FindCaughtUp(replicas, r.final); ok {
		return target, true
	}
	// A write arrived after the replica caught up; only the old primary has it.
	state, err := r.s.status(r.old)
	r.handedOver = err == nil && !state.Received.Before(r.final)
	return r.old, r.handedOver
}

// answersAsPrimary reports whether the old primary answers as the primary of its term.
func (r *replacement) answersAsPrimary() bool {
	state, err := r.s.status(r.old)
	return err == nil && state.Role == model.RolePrimary && state.Term == r.record.Term
}

// oldStartedAgain reports whether the old primary answers and holds nothing of its log any more, because it started again.
func (r *replacement) oldStartedAgain() bool {
	state, err := r.s.status(r.old)
	return err == nil && state.Role != model.RolePrimary && state.Received.Position == 0
}

// awaitCaughtUp waits until a replica has the full log of the old primary, and reports whether one has.
func (r *replacement) awaitCaughtUp(ctx context.Context) bool {
	for until := clock.Now().Add(catchUpTimeout); clock.Now().Before(until); {
		state, err := r.s.status(r.old)
		if err != nil {
			return false
		}
		r.final = state.Received
		if _, ok := elect.FindCaughtUp(r.handOverReplicas(r.callReplicas(model.InstanceConn.Status)), state.Received); ok {
			return true
		}
		if !retry.Sleep(ctx, pollInterval) {
			return false
		}
	}
	r.s.config.Log.Warn("no replica caught up with the old primary", "group", r.group, "instance", r.old.Name)
	return false
}

// demote ends writes on the old primary by making it a replica.
func (r *replacement) demote() (model.InstanceState, error) {
	r.demoteOrdered = true
	state, err := r.s.callInstance(r.old, func(conn model.InstanceConn, deadline time.Time) (model.InstanceState, error) {
		return conn.Demote(deadline, r.record.Next.Term)
	})
	r.s.config.Log.Info("demotion of the old primary ordered", "group", r.group, "instance", r.old.Name, "term", r.record.Next.Term, "received", state.Received, "error", err)
	return state, err
}
