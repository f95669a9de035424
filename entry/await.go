package entry

import (
	"context"
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/retry"
	"github.com/crocusshore/crocusshore/view"
	"github.com/crocusshore/crocusshore/wait"
)

// supply is what requests need: the primary of a group or, for reads, any instance of it that may serve them.
type supply struct {
	group   model.GroupName
	primary bool
}

// supplyOf returns what a call needs.
func supplyOf(c *call) supply {
	return supply{group: c.route.Group, primary: len(c.statements) == 0 || model.AnyWrite(c.statements)}
}

// awaitPrimary waits until the view is confirmed and names a primary of the group, as long as that may happen before the deadline. It sends
// nothing.
func (s *Server) awaitPrimary(ctx context.Context, c *call) (view.Placement, error) {
	for {
		now := s.now()
		state := s.views.State()
		placement := state.Placements[c.route.Group]
		confirmed := s.views.ConfirmedWithin(now, state.FleetSettings().WriteBound)
		if confirmed && placement.Primary != "" {
			return placement, nil
		}
		err := errNoPrimary(confirmed, c.route.Group)
		decision := s.forecast(c, err)
		if !decision.Wait || !now.Add(placementPollInterval).Before(c.deadline) || !retry.Sleep(ctx, placementPollInterval) {
			return placement, withReturn(err, decision)
		}
	}
}

func errNoPrimary(confirmed bool, group model.GroupName) *model.Refusal {
	if !confirmed {
		return model.Refuse(model.ReasonNotConfirmed, "this VM cannot confirm now which primary the group %s has", group)
	}
	return model.Refuse(model.ReasonNoPrimary, "the group %s has no primary now", group)
}

// forecast decides whether what a call needs may come before its deadline, given the refusal that shows that it is missing now. Outages with the
// same reason end after similar times.
func (s *Server) forecast(c *call, refusal *model.Refusal) wait.Decision {
	now := s.now()
	expected := s.outages.Missing(now, supplyOf(c), wait.Stage(refusal.Reason))
	return wait.Decide(now, expected, wait.Request{Deadline: c.deadline})
}

// mayRecover decides whether a call that was refused without any effect may succeed before its deadline. It returns the refusal with the time
// after which the caller may return. After an overload the retry budget decides, and the instance has told when to return.
func (s *Server) mayRecover(c *call, err error) (bool, error) {
	var refusal *model.Refusal
	if !errors.As(err, &refusal) || refusal.Reason == model.ReasonOverload {
		return true, err
	}
	decision := s.forecast(c, refusal)
	return decision.Wait, withReturn(refusal, decision)
}

// withReturn adds to a refusal without a retry time when its caller may return.
func withReturn(refusal *model.Refusal, decision wait.Decision) *model.Refusal {
	if refusal.RetryAfter > 0 || refusal.Outcome != model.NotRun {
		return refusal
	}
	return refusal.WithRetryAfter(wait.Spread(decision.RetryAfter, rand.Float64()))
}

// recordSupplied records that what a call needs was there.
func (s *Server) recordSupplied(c *call) { s.outages.Available(supplyOf(c)) }
