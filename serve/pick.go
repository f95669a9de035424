package serve

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/conns"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/place"
	"github.com/crocusshore/crocusshore/tree"
	"github.com/crocusshore/crocusshore/world"
)

const (
	// ageMargin is taken off the allowed age for the way to the instance and the granularity of clocks.
	ageMargin = 30 * time.Millisecond
	// waitShare of the latency objective may be spent waiting for a connection to one instance.
	waitShare = 0.25
	// leastWait lets short objectives wait for the usual opening of a connection.
	leastWait = 40 * time.Millisecond
	// comeBack is the advice to a caller that no instance could take.
	comeBack = 150 * time.Millisecond
)

// choice is an instance for a statement, with the position its log must include and the lease where it is the primary.
type choice struct {
	instance model.Instance
	primary  bool
	since    model.Mark
	lease    world.Lease
}

// choose ranks the instances that may serve a read now.
func (s *Server) choose(now time.Time, op operation, seen model.Mark) []choice {
	group := op.route.Group
	lease, leased := s.config.World.Lease(now, group)
	covered, _ := s.config.Samples.Cover(group, now.Add(ageMargin-op.route.MaxAge))
	need := place.NeedOf(op.route, covered, seen)
	var candidates []place.Candidate
	for _, instance := range s.config.World.State().Group(group) {
		primary := leased && instance.Name == lease.Primary.Name
		if !primary && (need.PrimaryOnly || instance.Leaving) {
			continue
		}
		used, waiting := s.config.Pool.InUse(instance.Name)
		candidates = append(candidates, s.config.Track.Judge(now, place.Candidate{
			Instance: instance, Primary: primary, Local: instance.Domain == s.config.Domain, InFlight: used, Waiting: waiting,
		}))
	}
	choices := make([]choice, 0, len(candidates))
	for _, c := range place.Rank(candidates) {
		one := choice{instance: c.Instance, primary: c.Primary, lease: lease}
		if !c.Primary {
			one.since = need.Since
		}
		choices = append(choices, one)
	}
	return choices
}

// errFailing reports an instance that failed in a row and has its next trial later; nothing was sent.
var errFailing = errors.New("the instance failed lately")

// get takes a connection of the team to the chosen instance.
func (c *caller) get(now time.Time, op operation, to choice) (model.Connection, error) {
	if !c.server.config.Track.Try(now, to.instance.Name) {
		return nil, errFailing
	}
	request := conns.Request{
		Instance: to.instance, Team: op.team, Values: c.session.Values, Class: class(op.route.Priority), Route: op.route.Name, Deadline: now.Add(op.patience()),
	}
	if to.primary {
		request.Term = to.lease.Term
	}
	conn, err := c.server.config.Source.Get(now, request)
	c.last = conn
	return conn, err
}

// patience is how long the operation may wait for an instance, a connection or a primary before it is refused.
func (o operation) patience() time.Duration {
	return max(time.Duration(waitShare*float64(o.route.Target)), leastWait)
}

// class maps the priority of a route to the class of its requests.
func class(priority int) tree.Class {
	switch {
	case priority <= 1:
		return tree.ClassReservation
	case priority == 2:
		return tree.ClassNormal
	default:
		return tree.ClassBrowsing
	}
}
