package coord

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/retry"
	"github.com/crocusshore/crocusshore/state"
)

// promote orders the promotion of the target through the platform, under the fencing token of the coordinator lease.
func (r *replacement) promote(ctx context.Context, target model.Instance) error {
	if err := r.renew(ctx); err != nil {
		return err
	}
	if !r.s.lease.mayOrder(clock.Now(), r.lease.Fence) {
		return errors.New("too little time is left of the coordinator lease")
	}
	err := r.s.config.Promotions.Promote(ctx, model.PromoteOrder{Group: r.group, Target: target.Name, Holder: r.s.config.Self, Fence: r.lease.Fence})
	r.s.config.Log.Info("promotion ordered", "group", r.group, "instance", target.Name, "fence", r.lease.Fence, "error", err)
	if errors.Is(err, model.ErrUncertain) {
		return nil // The status of the instance will show whether it was promoted.
	}
	return err
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

// awaitPromotion waits until the target reports that it is the primary of the announced term or a later one, and returns its term.
func (r *replacement) awaitPromotion(ctx context.Context, target model.Instance) (model.Term, error) {
	until := clock.Now().Add(promotionTimeout)
	for clock.Now().Before(until) {
		reported, err := r.s.status(target)
		if err == nil && reported.Role == model.RolePrimary && reported.Term >= r.record.Next.Term {
			return reported.Term, nil
		}
		if !retry.Sleep(ctx, pollInterval) {
			break
		}
	}
	return 0, errors.Newf("instance %s is not the primary of the new term yet", target.Name)
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
