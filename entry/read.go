package entry

import (
	"context"

	"github.com/crocusshore/crocusshore/check"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/owner"
	"github.com/crocusshore/crocusshore/route"
	"github.com/crocusshore/crocusshore/tree"
	"github.com/crocusshore/crocusshore/view"
)

// read runs a call without writes on the best instance that may serve it.
func (s *Server) read(ctx context.Context, c *call) (reply, error) {
	s.budget.earn()
	for attempt := 0; ; attempt++ {
		result, err := s.readRound(ctx, c)
		if err == nil {
			s.recordSupplied(c)
			return result, nil
		}
		if again, err := s.awaitRetry(ctx, c, attempt, err); !again {
			return reply{}, err
		}
	}
}

// readRound tries the candidates in order, each at most once.
func (s *Server) readRound(ctx context.Context, c *call) (reply, error) {
	state := s.views.State()
	group := state.Tree.Group(c.route.Group)
	placement := state.Placements[c.route.Group]
	var lastErr error = model.Refuse(model.ReasonNoInstance, "no instance of the group %s can serve this read now", c.route.Group)
	if group == nil {
		return reply{}, lastErr
	}
	sessionMark := c.session.Marks[c.route.Group]
	if sessionMark.Term > placement.Term {
		return reply{}, model.Refuse(model.ReasonReplaced, "this VM has not yet learned of the term that the session saw")
	}
	minPosition, lostWrites, known := route.MinPosition(sessionMark, placement.Term, placement.Start)
	if !known {
		return reply{}, model.Refuse(model.ReasonReplaced, "the group %s is changing its primary; what the session saw cannot be compared yet", c.route.Group)
	}
	requirement := route.Requirement{Domain: s.config.Domain, MinMark: model.Mark{Term: placement.Term, Position: minPosition}, MaxAge: c.route.Settings.MaxAge}
	for _, name := range route.Choose(requirement, s.candidates(group, placement)) {
		result, err := s.readAt(ctx, c, placement, name, minPosition)
		if err == nil {
			result.lostWrites = lostWrites
			return result, nil
		}
		lastErr = err
		if hasReason(err, model.ReasonStatement, model.ReasonDeadline) {
			break
		}
	}
	return reply{}, lastErr
}

func (s *Server) candidates(group *tree.Group, placement view.Placement) []route.Candidate {
	now := s.now()
	candidates := make([]route.Candidate, 0, len(group.Instances))
	for _, instance := range group.Instances {
		observed := s.observations.get(model.InstanceRef{Group: group.Name, Instance: instance.Name})
		candidates = append(candidates, route.Candidate{
			Instance: instance.Name,
			Domain:   instance.Domain,
			Primary:  instance.Name == placement.Primary,
			Leaving:  instance.Leaving,
			Failing:  observed.isFailing(now),
			Mark:     observed.mark,
			Lag:      observed.lag(now),
			Load:     float64(observed.inFlight) / float64(instance.Slots),
		})
	}
	return candidates
}

func (s *Server) readAt(ctx context.Context, c *call, placement view.Placement, name model.InstanceName, minPosition model.Position) (reply, error) {
	primary := name == placement.Primary
	if primary && !s.canReadPrimary(c) {
		return reply{}, model.Refuse(model.ReasonNotConfirmed, "this VM cannot confirm now which primary the group %s has", c.route.Group)
	}
	ref := model.InstanceRef{Group: c.route.Group, Instance: name}
	r := s.request(c, name, placement.Term, model.ModeSingle)
	r.MinPosition = minPosition
	response, _, err := s.execute(ctx, c.route.Name, r)
	if err != nil {
		if hasReason(err, model.ReasonNoInstance, model.ReasonConnection) {
			s.observations.recordFailure(ref, s.now())
		}
		return reply{}, err
	}
	s.observations.recordAnswer(ref, s.now(), response.Mark, response.Age)
	if err := s.checkRead(c, placement, primary, response); err != nil {
		return reply{}, err
	}
	return reply{
		id:       c.id,
		rows:     response.Rows,
		servedBy: name,
		replica:  !primary,
		mark:     response.Mark,
		session:  c.session.WithMark(c.route.Group, response.Mark),
	}, nil
}

// checkRead refuses an answer that is older than the session or the route allows.
func (s *Server) checkRead(c *call, placement view.Placement, primary bool, response owner.Response) error {
	if !primary && response.Age > c.route.Settings.MaxAge {
		return model.Refuse(model.ReasonBehind, "the replica lags by %s, more than the route allows", response.Age)
	}
	covered, _ := route.Covers(response.Mark, c.session.Marks[c.route.Group], placement.Start)
	if !covered {
		return model.Refuse(model.ReasonBehind, "the instance has not applied what the session saw")
	}
	if primary && !s.canReadPrimary(c) {
		return model.Refuse(model.ReasonNotConfirmed, "the view could not be confirmed while the read ran")
	}
	return nil
}

// canReadPrimary reports whether the view was confirmed recently enough to treat the primary's state as the newest one.
func (s *Server) canReadPrimary(c *call) bool {
	bound := max(s.views.State().FleetSettings().WriteBound, c.route.Settings.MaxAge)
	return s.views.ConfirmedWithin(s.now(), bound)
}

// assertRead asserts ReadYourWrites on the finished reply: the log position of the session must not go back, unless a
// failover lost writes.
func (s *Server) assertRead(c *call, result reply) {
	before := c.session.Marks[c.route.Group]
	after := result.session.Marks[c.route.Group]
	s.violations.Assert(result.lostWrites || !after.Before(before), check.ReadYourWrites,
		"request %s answered at %v after the session saw %v", c.id, after, before)
}
