package policy

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// Consistency is what a route promises to its readers.
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
	// Route leads from the name of a database to a group.
	Route struct {
		Name        model.RouteName
		Database    string
		Group       model.GroupName
		Consistency Consistency
		// MaxAge is how old the data of a read may be.
		MaxAge time.Duration
		// Timeout limits a single statement.
		Timeout time.Duration
		// TargetLatency is the latency objective of a whole operation.
		TargetLatency time.Duration
		// Priority orders the routes; 0 goes first.
		Priority int
		// Public routes need no key.
		Public bool
	}

	// Group is a database group.
	Group struct {
		Name model.GroupName
		// MaxConnections is how many connections an instance takes from all VMs together.
		MaxConnections int
		// Replicated groups acknowledge a commit only after a replica received it.
		Replicated bool
	}

	// Team is a team with its rate over the whole fleet.
	Team struct {
		Name model.TeamName
		// Rate counts operations a second.
		Rate  float64
		Burst float64
	}

	// Policy is one version of the settings; it is not changed once it is in use.
	Policy struct {
		Version int64
		// TxIdleTimeout is how long a transaction may rest before it is ended.
		TxIdleTimeout time.Duration
		Routes        map[string]Route
		Groups        map[model.GroupName]Group
		Teams         map[model.TeamName]Team
		Keys          map[string]model.TeamName
	}
)

// PublicTeam is the name under which statements of open routes run when their caller has no known key.
const PublicTeam model.TeamName = "-"

// Admit returns the route and the team of a caller, or the fault that refuses the caller.
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
