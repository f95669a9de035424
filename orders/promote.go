package orders

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/retry"
	"github.com/crocusshore/crocusshore/world"
)

// promote records the target and orders it to lead.
func (r *replacement) promote(ctx context.Context, target model.Instance) error {
	if err := r.renew(ctx); err != nil {
		return err
	}
	if !r.s.lease.mayOrder(clock.Now(), r.lease.Fence) {
		return errors.New("too little of the duty's time is left")
	}
	err := r.s.config.Promotions.Promote(ctx, model.PromoteOrder{Group: r.group, Target: target.Name, Holder: r.s.config.Self, Fence: r.lease.Fence})
	r.s.config.Log.Info("promotion ordered", "group", r.group, "instance", target.Name, "fence", r.lease.Fence, "error", err)
	if errors.Is(err, model.ErrUncertain) {
		return nil // The instance itself tells whether it leads.
	}
	return err
}

// renew makes sure that the duty lasts for an order.
func (r *replacement) renew(ctx context.Context) error {
	if r.s.lease.mayOrder(clock.Now(), r.lease.Fence) {
		return nil
	}
	held, err := r.s.lease.claim(ctx)
	if err != nil {
		return err
	}
	r.s.lease.dropUser()
	r.lease = held
	return nil
}

// awaitLead waits until the target says that it leads, and returns its term.
func (r *replacement) awaitLead(ctx context.Context, target model.Instance) (model.Term, error) {
	until := clock.Now().Add(promotionTimeout)
	for clock.Now().Before(until) {
		state, err := r.s.status(target)
		if err == nil && state.Role == model.RolePrimary && state.Term >= r.lead.Next.Term {
			return state.Term, nil
		}
		if !retry.Sleep(ctx, pollInterval) {
			break
		}
	}
	return 0, errors.Newf("instance %s does not lead yet", target.Name)
}

// settle names the new primary and tells the old one.
func (r *replacement) settle(ctx context.Context, target model.Instance, term model.Term) error {
	if err := r.renew(ctx); err != nil {
		return err
	}
	version, err := r.write(ctx, world.PrimaryRecord{Group: r.group, Term: term, Primary: target.Name})
	r.s.config.Log.Info("primary replaced", "group", r.group, "old", r.lead.Primary, "new", target.Name, "term", term,
		"after", clock.Now().Sub(r.announcedAt).Round(time.Millisecond), "row", version, "error", err)
	if err != nil {
		return err
	}
	if !r.oldKnown {
		return nil
	}
	if _, err := r.demote(); err != nil {
		r.s.config.Log.Info("old primary not told; it finds out by itself", "instance", r.old.Name, "error", err)
	}
	return nil
}
