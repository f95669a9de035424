package serve

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/conns"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/place"
	"github.com/crocusshore/crocusshore/policy"
	"github.com/crocusshore/crocusshore/state"
	"github.com/crocusshore/crocusshore/tree"
)

const (
	// ageMargin is subtracted from the allowed staleness to cover the network delay to the instance and the granularity of clocks.
	ageMargin = 30 * time.Millisecond
)

// target is an instance to run a statement on, with the log position that it must have received and, if it is the primary, the lease under
// which it is used.
type target struct {
	instance model.Instance
	primary  bool
	since    model.Mark
	// askedAt is set if other statements wait for this one to show whether the instance still lacks the position; see place.Tracker.TakeQuestion.
	askedAt time.Time
	lease   state.Lease
}

// rankInstances returns the instances that may serve a read now, best first.
func (s *Server) rankInstances(now time.Time, op operation, lastCommit model.Mark) []target {
	group := op.route.Group
	lease, leased := s.config.Cache.Lease(now, group)
	covered, _ := s.config.Samples.LowestCovering(group, now.Add(ageMargin-op.route.MaxAge))
	requirement := place.RequirementOf(op.route, covered, lastCommit)
	var candidates []place.Candidate
	snapshot := s.config.Cache.Snapshot()
	for _, instance := range snapshot.GroupInstances(group) {
		if s.excludes(snapshot, op, instance) {
			continue
		}
		primary := leased && instance.Name == lease.Primary.Name
		if !primary && (requirement.PrimaryOnly || instance.Leaving) {
			continue
		}
		used, waiting := s.config.Pool.InUse(instance.Name)
		candidate := place.Candidate{
			Instance: instance, Primary: primary, Local: instance.Domain == s.config.Domain, InFlight: used, Waiting: waiting,
		}
		if !primary {
			candidate.Since = requirement.Since
		}
		candidates = append(candidates, s.config.Tracker.Assess(now, candidate))
	}
	targets := make([]target, 0, len(candidates))
	for _, c := range place.Rank(candidates) {
		targets = append(targets, target{instance: c.Instance, primary: c.Primary, since: c.Since, lease: lease})
	}
	return targets
}

// errRecentlyFailed reports an instance with consecutive failures whose next attempt is not due yet; nothing was sent.
var errRecentlyFailed = errors.New("the instance failed recently and its next attempt is not due yet")

// connectionNeed tells until when a connection is waited for, and whether it must not have been used.
type connectionNeed struct {
	until  time.Time
	unused bool
}

// getConnection takes a connection of the team to the chosen instance.
func (c *callerSession) getConnection(now time.Time, op operation, to target, need connectionNeed) (model.PooledConn, error) {
	if !c.server.config.Tracker.TakeAttempt(now, to.instance.Name) {
		c.lastErr = errRecentlyFailed
		return nil, errRecentlyFailed
	}
	request := conns.Request{
		Instance: to.instance, Team: op.team, Values: c.session.Values, Class: c.class(op.route), Route: op.route.Name,
		Deadline: need.until, New: need.unused,
	}
	if to.primary {
		request.Term = to.lease.Term
	}
	conn, err := c.server.config.Source.Get(now, request)
	c.lastConn = conn
	if err != nil {
		c.lastErr = err
		return conn, err
	}
	// An evacuation may have begun during the wait for the connection. The values of the session are sent next, without another check.
	if c.server.excludes(c.server.config.Cache.Snapshot(), op, to.instance) {
		c.server.config.Source.Put(clock.Now(), conn)
		c.lastErr = errExcluded
		return nil, errExcluded
	}
	return conn, nil
}

// classes are the classes of requests in the order in which they are served.
var classes = []tree.Class{tree.ClassReservation, tree.ClassNormal, tree.ClassBrowsing}

// class returns the class of requests on a route. Where the routes of a group have as many priorities as there are classes or more, each of the first
// ones has a class of its own.
func (c *callerSession) class(route policy.Route) tree.Class {
	if p := c.server.config.Cache.Snapshot().Policy; p != nil {
		if priorities := p.Priorities()[route.Group]; len(priorities) >= len(classes) {
			return classes[min(max(slices.Index(priorities, route.Priority), 0), len(classes)-1)]
		}
	}
	return classes[min(max(route.Priority-1, 0), len(classes)-1)]
}
