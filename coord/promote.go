package coord

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/retry"
	"github.com/crocusshore/crocusshore/state"
)

// answerTimeout bounds the wait for the answer to an order before the instance is asked whether it was promoted.
const answerTimeout = time.Second

// promote orders the promotion of the target through the platform, under the fencing token of the coordinator lease, and returns the term of the
// new primary. While an order may be under way, only the same target is ordered again: another one could lose what the first acknowledges.
func (r *replacement) promote(ctx context.Context, target model.Instance) (model.Term, error) {
	for {
		if err := r.order(ctx, target); err != nil {
			return 0, errors.Wrap(err, "promoting")
		}
		term, err := r.awaitPromotion(target)
		if err == nil {
			r.s.lease.recordCarriedOut(r.group, target.Name, term)
			return term, nil
		}
		if ctx.Err() != nil || !r.s.lease.isPending(r.group) {
			return 0, err
		}
	}
}

// order records and sends one order. It returns nil if the target may have been promoted, which its status will show.
//
// The target is asked between the record and the sending. If it leads already, nothing is ordered: its state would be taken for the effect of an order
// that is still under way. If it does not, a later promotion is the effect of this order, or of another one that may be under way.
func (r *replacement) order(ctx context.Context, target model.Instance) error {
	recorded, err := r.s.lease.recordOrder(ctx, r.lease.Fence, state.SentOrder{
		Group: r.group, Kind: state.OrderPromote, Target: target.Name, Term: r.record.Next.Term,
	})
	if err != nil {
		return err
	}
	reported, err := r.s.status(target)
	if replicaOf(target, reported, err).Leads >= r.record.Next.Term {
		r.s.lease.settle(recorded)
		r.s.config.Log.Info("promotion not ordered, the instance leads already", "group", r.group, "instance", target.Name, "term", reported.Term)
		return nil
	}
	if err != nil || !r.isUnchanged(reported) {
		r.s.lease.settle(recorded)
		return errors.Newf("instance %s is not as it was when it was chosen", target.Name)
	}
	answer := make(chan error, 1)
	go func() { answer <- r.send(recorded, target) }()
	select {
	case err := <-answer:
		if errors.Is(err, model.ErrUncertain) {
			return nil
		}
		return err
	case <-time.After(answerTimeout):
		return nil
	}
}

// send sends a recorded order and returns its outcome. An order whose answer is lost is settled in the background, once it is known to be
// carried out or has outlived its lifetime.
func (r *replacement) send(recorded recordedOrder, target model.Instance) error {
	sentAt := clock.Now()
	err := r.s.config.Promotions.Promote(recorded.ctx, model.PromoteOrder{
		Group: r.group, Target: target.Name, Holder: r.s.config.Self, Fence: r.lease.Fence, SendBy: recorded.sendBy,
	})
	r.s.config.Log.Info("promotion ordered", "group", r.group, "instance", target.Name, "fence", r.lease.Fence, "order", recorded.number,
		"after", clock.Now().Sub(sentAt), "error", err)
	switch {
	case err == nil:
		go r.s.lease.settleAnswered(recorded)
	case errors.Is(err, model.ErrUncertain):
		go r.s.lease.settleLater(recorded)
	default:
		r.s.lease.settle(recorded)
	}
	return err
}

// isUnchanged reports whether the target may still be promoted, as its state shows. It holds what it held when it was chosen: it has neither started again nor lost
// its pause. And either all VMs have released the old primary, or no replica has started again, which could confirm commits to a VM that has not.
func (r *replacement) isUnchanged(reported model.InstanceState) bool {
	if reported.Held < r.record.Next.Term && (!r.handedOver || reported.Received.Before(r.final)) {
		return false
	}
	return r.allReleased() || elect.AllPaused(elect.RecheckPaused(r.callReplicas(model.InstanceConn.Status), r.record.Next.Term))
}

// awaitOrders waits until no order for the group can be under way, or the target of one has been promoted. An order takes effect whenever it
// arrives: a promotion would remove what another primary acknowledged meanwhile, and the end of a pause what replicas confirmed after they
// were compared. If the target of the orders can take over, it is ordered again. awaitOrders returns the promoted instance and its term, or a zero
// term.
func (r *replacement) awaitOrders(ctx context.Context) (model.Instance, model.Term, error) {
	for r.s.lease.isPending(r.group) {
		if promoted, term, found := r.findPromoted(); found {
			return promoted, term, nil
		}
		if target, ok := r.seekOrdered(clock.Now()); ok {
			if term, err := r.promote(ctx, target); err == nil {
				return target, term, nil
			}
		}
		if !retry.Sleep(ctx, retryInterval) {
			return model.Instance{}, 0, errors.New("an order for the group may still be under way")
		}
	}
	return model.Instance{}, 0, nil
}

// seekOrdered returns the instance that was ordered to be promoted, if it can take over now. An earlier order for it does no more than the next one,
// so the replicas can be compared although it may be under way.
func (r *replacement) seekOrdered(now time.Time) (model.Instance, bool) {
	name, ordered := r.s.lease.orderedTarget(r.group, r.record.Next.Term)
	if !ordered {
		return model.Instance{}, false
	}
	r.pause(now)
	if now.Sub(r.comparedAt) < retryInterval || !r.leasesEnded(now) || !r.recheckPause() {
		return model.Instance{}, false
	}
	furthest, ok := r.compare(now)
	if !ok {
		return model.Instance{}, false
	}
	return elect.FindEqual(r.compared, furthest.Name, name)
}

// renew renews the coordinator lease if too little time is left to send an order.
func (r *replacement) renew(ctx context.Context) error {
	if r.s.lease.mayOrder(clock.Now(), r.lease.Fence) {
		return nil
	}
	lease, err := r.s.lease.claim(ctx)
	if err != nil {
		return err
	}
	r.s.lease.dropUser()
	r.lease = lease
	return nil
}

// awaitPromotion waits until the target reports that it is the primary of the announced term or a later one, and returns its term. It does so also
// after the run was ended: the lease must not be given up between the answer to an order and the promotion, which would be taken for the effect of the
// next holder's order.
func (r *replacement) awaitPromotion(target model.Instance) (model.Term, error) {
	until := clock.Now().Add(promotionTimeout)
	for clock.Now().Before(until) {
		reported, err := r.s.status(target)
		if err == nil && reported.Role == model.RolePrimary && reported.Term >= r.record.Next.Term {
			return reported.Term, nil
		}
		time.Sleep(pollInterval)
	}
	return 0, errors.Newf("instance %s is not the primary of the new term yet", target.Name)
}

// completePromoted records the instance that an earlier order promoted.
func (r *replacement) completePromoted(ctx context.Context, promoted model.Instance, term model.Term) error {
	r.s.config.Log.Info("an earlier order was carried out", "group", r.group, "instance", promoted.Name, "term", term)
	r.s.lease.recordCarriedOut(r.group, promoted.Name, term)
	return r.complete(ctx, promoted, term)
}

// complete records the new primary and demotes the old one.
func (r *replacement) complete(ctx context.Context, target model.Instance, term model.Term) error {
	if err := r.renew(ctx); err != nil {
		return err
	}
	version, err := r.writeRecord(ctx, state.PrimaryRecord{Group: r.group, Term: term, Primary: target.Name, Replicas: r.nextReplicas(target)})
	r.s.config.Log.Info("primary replaced", "group", r.group, "old-primary", r.record.Primary, "new-primary", target.Name, "term", term,
		"after", clock.Now().Sub(r.announcedAt).Round(time.Millisecond), "row-version", version, "error", err)
	if err != nil {
		return err
	}
	if !r.oldKnown {
		return nil
	}
	if _, err := r.demote(); err != nil {
		r.s.config.Log.Info("old primary not demoted; it detects by itself that it was replaced", "instance", r.old.Name, "error", err)
	}
	return nil
}
