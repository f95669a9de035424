package policy

import (
	"sync/atomic"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// Consistency is what a route guarantees to its readers.
type Consistency string

const (
	// ConsistencyPrimary includes every acknowledged commit.
	ConsistencyPrimary Consistency = "Primary"
	// ConsistencyBounded includes every commit older than MaxAge.
	ConsistencyBounded Consistency = "Bounded"
	// ConsistencySession includes every commit older than MaxAge and all commits of the session.
	ConsistencySession Consistency = "Session"
)

type (
	// Route maps the name of a database to a group.
	Route struct {
		Name        model.RouteName
		Database    string
		Group       model.GroupName
		Consistency Consistency
		// MaxAge bounds the staleness of the data of a read.
		MaxAge time.Duration
		// Timeout bounds a single statement.
		Timeout time.Duration
		// TargetLatency is the latency objective of a whole operation.
		TargetLatency time.Duration
		// Priority orders the routes; 0 is served first.
		Priority int
		// Public routes need no key.
		Public bool
		// HomeRegions are the regions in which the statements of the route may run; none means all.
		HomeRegions []model.Region
	}

	// Group is a database group.
	Group struct {
		Name model.GroupName
		// MaxConnections bounds the connections that an instance takes from all VMs together.
		MaxConnections int
		// Replicated groups acknowledge a commit only after a replica received it.
		Replicated bool
		// ColdRate limits the statements a second that an instance gets from all VMs together while it is cold; 0 is no limit.
		ColdRate float64
	}

	// Team is a team with its rate over all VMs together.
	Team struct {
		Name model.TeamName
		// Rate is in operations per second, Burst in operations.
		Rate  float64
		Burst float64
		// HomeRegions are the regions in which the statements of the team may run; none means all.
		HomeRegions []model.Region
	}

	// Policy is one version of the settings; it is immutable once it is in use.
	Policy struct {
		Version int64
		// TxIdleTimeout bounds how long a transaction may be idle before it is ended.
		TxIdleTimeout time.Duration
		Routes        map[string]Route
		Groups        map[model.GroupName]Group
		Teams         map[model.TeamName]Team
		Keys          map[string]model.TeamName

		// replicaMaxAges caches the result of ReplicaMaxAges.
		replicaMaxAges atomic.Pointer[map[model.GroupName]time.Duration]
		// priorities caches the result of Priorities.
		priorities atomic.Pointer[map[model.GroupName][]int]
	}
)

// PublicTeam is the name under which statements on public routes run when their caller has no known key.
const PublicTeam model.TeamName = "-"

// Admit returns the route and the team of a caller, or the fault with which the caller is rejected.
func (p *Policy) Admit(hello model.Hello) (Route, model.TeamName, model.Fault) {
	route, ok := p.Routes[hello.Database]
	if !ok {
		return Route{}, "", model.FaultNoDatabase
	}
	team, ok := p.Keys[hello.Key]
	if !ok && !route.Public {
		return Route{}, "", model.FaultNoAuth
	}
	if !ok {
		team = PublicTeam
	}
	return route, team, ""
}
