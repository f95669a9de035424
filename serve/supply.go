package serve

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
)

// supply is what operations of a route need: the primary of its group or, for reads, any instance that may serve them. The zero supply is the
// settings, which all of them need.
type supply struct {
	group model.GroupName
	// database names the route. With primary it is empty unless the route has home regions.
	database string
	primary  bool
	// team names the team if its home regions restrict the operations.
	team model.TeamName
	// answering is set for instances that may be used and have to answer.
	answering bool
	// excluded is set if all instances that could take the operations are excluded; see Server.excludesAll.
	excluded bool
}

// supplyOf returns what an operation needs. All routes of a group need the same primary, unless home regions restrict them.
func supplyOf(op operation, primary bool) supply {
	need := supply{group: op.route.Group, primary: primary}
	if !primary || len(op.homes.Route) > 0 {
		need.database = op.route.Database
	}
	if len(op.homes.Team) > 0 {
		need.team = op.team
	}
	return need
}

// hasInstance reports whether an instance may take an operation now, only the primary if primary is set.
func (s *Server) hasInstance(now time.Time, op operation, primary bool) bool {
	if primary {
		lease, leased := s.config.Cache.Lease(now, op.route.Group)
		return leased && !s.excludes(s.config.Cache.Snapshot(), op, lease.Primary)
	}
	return len(s.rankInstances(now, op, model.Mark{})) > 0
}

// observeOutages records the outages that have ended, also while nobody waits for their end.
func (s *Server) observeOutages(now time.Time) {
	p := s.config.Cache.Snapshot().Policy
	if p == nil {
		return
	}
	for _, need := range s.outages.Open() {
		route, known := p.Routes[need.database]
		if need.primary && need.database == "" {
			route, known = policy.Route{Group: need.group, Consistency: policy.ConsistencyPrimary}, true
		}
		op := operation{route: route, homes: p.HomesOf(route, need.team)}
		switch {
		case !known || s.isSupplied(now, op, need):
			s.outages.Available(need)
		case need.excluded:
			s.outages.Missing(now, need, stageExcluded)
		case !need.answering: // Whether an instance answers shows when something is sent to it.
			s.outages.Missing(now, need, s.stage(now, need.group))
		}
	}
}

// isSupplied reports whether what operations need is there.
func (s *Server) isSupplied(now time.Time, op operation, need supply) bool {
	if need.excluded {
		return !s.excludesAll(op, need.primary) && s.hasInstance(now, op, need.primary)
	}
	if !need.answering {
		return s.hasInstance(now, op, need.primary)
	}
	for _, to := range s.rankInstances(now, op, model.Mark{}) {
		if s.config.Tracker.Health(now, to.instance.Name).Failures == 0 {
			return true
		}
	}
	return false
}
