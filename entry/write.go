package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/crocusshore/crocusshore/check"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/owner"
	"github.com/crocusshore/crocusshore/retry"
	"github.com/crocusshore/crocusshore/view"
)

// placementPollInterval is the interval at which a waiting request checks the view again.
const placementPollInterval = 20 * time.Millisecond

// write runs a call with writes on the primary, at most once.
func (s *Server) write(ctx context.Context, c *call) (reply, error) {
	s.budget.earn()
	var made attempts
	for attempt := 0; ; attempt++ {
		placement, err := s.awaitPrimary(ctx, c)
		if err != nil {
			return reply{}, made.refusal(err)
		}
		response, _, err := s.execute(ctx, c.route.Name, s.request(c, placement.Primary, placement.Term, model.ModeSingle))
		if err == nil || hasOutcome(err, model.Unknown) {
			response, err = s.settleOutcome(ctx, c, placement, response, err)
			made.recordSettled(err)
		}
		if err == nil {
			s.recordSupplied(c)
			return s.acknowledge(c, placement, response), nil
		}
		if s.takeRepeat(c, err) {
			if !s.waitBeforeRetry(ctx, c, attempt) {
				return reply{}, made.refusal(err)
			}
			continue
		}
		if again, err := s.awaitRetry(ctx, c, attempt, err); !again {
			return reply{}, made.refusal(err)
		}
	}
}

// settleOutcome decides the outcome that a caller gets after the answer to a write has arrived or was lost.
//
// An answer counts only while the view is confirmed and still names the term; otherwise the outcome is looked up until
// the deadline.
func (s *Server) settleOutcome(ctx context.Context, c *call, placement view.Placement, response owner.Response, err error) (owner.Response, error) {
	if err == nil && s.mayAcknowledge(c.route.Group, placement.Term) {
		return response, nil
	}
	if err == nil {
		err = model.Uncertain(model.ReasonReplaced, "the primary was replaced, or the view could not be confirmed, while the request ran")
	}
	return s.resolveOutcome(ctx, c, placement.Term, err)
}

// mayAcknowledge reports whether a write of a term may be acknowledged right now.
func (s *Server) mayAcknowledge(group model.GroupName, term model.Term) bool {
	state := s.views.State()
	return state.Placements[group].Term == term && s.views.ConfirmedWithin(s.now(), state.FleetSettings().WriteBound)
}

// resolveOutcome looks up the outcome of a request until the deadline; it never sends the request again.
func (s *Server) resolveOutcome(ctx context.Context, c *call, sent model.Term, unknown error) (owner.Response, error) {
	for attempt := 0; s.waitBeforeRetry(ctx, c, attempt); attempt++ {
		state := s.views.State()
		placement := state.Placements[c.route.Group]
		if placement.Primary == "" || !s.views.ConfirmedWithin(s.now(), state.FleetSettings().WriteBound) {
			continue
		}
		response, _, err := s.execute(ctx, c.route.Name, s.request(c, placement.Primary, placement.Term, owner.ModeFind))
		switch {
		case err == nil && s.mayAcknowledge(c.route.Group, placement.Term):
			return response, nil
		case hasReason(err, model.ReasonNotRecorded) && placement.Term > sent:
			// The history of the new term does not include the request, and statements of the old term no longer run.
			return owner.Response{}, model.Refuse(model.ReasonReplaced, "the primary was replaced before the request ran")
		case hasReason(err, model.ReasonNotRecorded) && c.repeatable:
			return owner.Response{}, unknown
		}
	}
	return owner.Response{}, unknown
}

// acknowledge builds the reply. Nothing that can take time may happen between settleOutcome and acknowledge, because the
// check in settleOutcome holds only for the moment of the check.
func (s *Server) acknowledge(c *call, placement view.Placement, response owner.Response) reply {
	s.violations.Assert(response.Mark.Term >= placement.Term, check.NoReplacedAck,
		"request %s was acknowledged in term %d after term %d", c.id, response.Mark.Term, placement.Term)
	return reply{
		id:       c.id,
		rows:     response.Rows,
		servedBy: placement.Primary,
		mark:     response.Mark,
		repeated: response.Repeated,
		session:  c.session.WithMark(c.route.Group, response.Mark),
	}
}

// takeRetry reports whether a request that was refused without any effect may succeed later; after an overload it takes a
// retry from the budget.
func (s *Server) takeRetry(err error) bool {
	if !hasOutcome(err, model.NotRun) {
		return false
	}
	if hasReason(err, model.ReasonReplaced, model.ReasonNoInstance, model.ReasonConnection, model.ReasonLeaving, model.ReasonBehind) {
		return true
	}
	return hasReason(err, model.ReasonOverload) && s.budget.spend()
}

// takeRepeat reports whether a request whose outcome is unknown may be sent again. That is safe because its caller allows
// it and the upstream runs a request identifier only once. It takes a retry from the budget.
func (s *Server) takeRepeat(c *call, err error) bool {
	return c.repeatable && hasOutcome(err, model.Unknown) && s.budget.spend()
}

// awaitRetry waits before a call that was refused without any effect is tried again. If that would not help in time, it returns the refusal with
// the time after which the caller may return.
func (s *Server) awaitRetry(ctx context.Context, c *call, attempt int, err error) (bool, error) {
	if !s.takeRetry(err) {
		return false, err
	}
	mayRecover, err := s.mayRecover(c, err)
	return mayRecover && s.waitBeforeRetry(ctx, c, attempt), err
}

// waitBeforeRetry waits before a retry; it returns false if the deadline leaves no time for one or the context ends.
func (s *Server) waitBeforeRetry(ctx context.Context, c *call, attempt int) bool {
	wait := backoff.Delay(attempt, rand.Float64())
	if !s.now().Add(wait).Before(c.deadline) {
		return false
	}
	return retry.Sleep(ctx, wait)
}
