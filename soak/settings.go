package soak

import (
	"fmt"
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/platform"
	"github.com/crocusshore/crocusshore/policy"
)

const (
	teamBuilders = model.TeamName("builders")
	teamCrew     = model.TeamName("crew")
	keyBuilders  = "key-builders"
	keyCrew      = "key-crew"

	// buildersRate is out of reach, and crewRate is what the callers of the crew ask for several times over.
	buildersRate = 5000
	crewRate     = 20

	boundedAge = 1500 * time.Millisecond
	sessionAge = 2500 * time.Millisecond

	routeTimeout = time.Second
	routeTarget  = 200 * time.Millisecond
	txIdle       = 2 * time.Second
	// connections is how many connections an instance is said to take.
	connections = 60
)

// routes returns the routes of all groups.
func (s *site) routes() []route {
	var all []route
	for g := range s.config.Groups {
		all = append(all,
			route{name: fmt.Sprintf("revise-%d", g), group: groupName(g)},
			route{name: fmt.Sprintf("browse-%d", g), group: groupName(g), age: boundedAge},
			route{name: fmt.Sprintf("quote-%d", g), group: groupName(g), age: sessionAge, own: true})
	}
	return all
}

// operate puts settings in force as the operators would.
func (s *site) operate(version int64, builders, crew string) {
	p := &policy.Policy{
		Version: version, TxIdleTimeout: txIdle, Routes: map[string]policy.Route{}, Groups: map[model.GroupName]policy.Group{},
		Keys: map[string]model.TeamName{builders: teamBuilders, crew: teamCrew},
		Teams: map[model.TeamName]policy.Team{
			teamBuilders: {Name: teamBuilders, Rate: buildersRate, Burst: buildersRate}, teamCrew: {Name: teamCrew, Rate: crewRate, Burst: crewRate},
		},
	}
	for _, r := range s.routes() {
		p.Routes[r.name] = r.settings()
		p.Groups[r.group] = policy.Group{Name: r.group, MaxConnections: connections, Replicated: true}
	}
	body, err := platform.EncodePolicy(p)
	if err != nil {
		s.ledger.breach("settings: %v", err)
		return
	}
	s.rows.Put(platform.TableSettings, platform.KeySettings, body)
}

// settings returns the route as operators write it.
func (r route) settings() policy.Route {
	p := policy.Route{
		Name: model.RouteName("r-" + r.name), Database: r.name, Group: r.group, Consistency: policy.ConsistencyPrimary, MaxAge: r.age,
		Timeout: routeTimeout, TargetLatency: routeTarget, Priority: 2,
	}
	switch {
	case r.own:
		p.Consistency = policy.ConsistencySession
	case r.age > 0:
		p.Consistency = policy.ConsistencyBounded
	default:
		p.Priority = 1
	}
	return p
}
