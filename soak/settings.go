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

	// buildersRate, in operations per second, is more than the callers of the builders ever send.
	buildersRate = 5000
	// crewRate, in operations per second, is several times less than the callers of the crew send.
	crewRate = 20

	boundedMaxAge = 1500 * time.Millisecond
	sessionMaxAge = 2500 * time.Millisecond

	routeTimeout       = time.Second
	routeTargetLatency = 200 * time.Millisecond
	txIdle             = 2 * time.Second
	// maxConnections is the connection limit that the settings give for an instance.
	maxConnections = 60
)

// routes returns the three routes of each group: primary, bounded and session.
func (s *site) routes() []route {
	var all []route
	for g := range s.config.Groups {
		all = append(all,
			route{name: fmt.Sprintf("revise-%d", g), group: groupName(g)},
			route{name: fmt.Sprintf("browse-%d", g), group: groupName(g), maxAge: boundedMaxAge},
			route{name: fmt.Sprintf("quote-%d", g), group: groupName(g), maxAge: sessionMaxAge, readYourWrites: true})
	}
	return all
}

// routeLimits are the settings of routes that planned work changes.
type routeLimits struct {
	timeout, txIdle time.Duration
	// extraRoutes is the number of routes that no caller uses.
	extraRoutes int
}

// putSettings writes the next version of the settings of all teams, routes and groups to the store, as an operator would.
func (s *site) putSettings(limits routeLimits, builders, crew string) {
	p := &policy.Policy{
		Version: s.settingsVersion.Add(1), TxIdleTimeout: limits.txIdle, Routes: map[string]policy.Route{}, Groups: map[model.GroupName]policy.Group{},
		Keys: map[string]model.TeamName{builders: teamBuilders, crew: teamCrew},
		Teams: map[model.TeamName]policy.Team{
			teamBuilders: {Name: teamBuilders, Rate: buildersRate, Burst: buildersRate}, teamCrew: {Name: teamCrew, Rate: crewRate, Burst: crewRate},
		},
	}
	for _, r := range s.routes() {
		p.Routes[r.name] = r.policyRoute(limits.timeout)
		p.Groups[r.group] = policy.Group{Name: r.group, MaxConnections: maxConnections, Replicated: true}
	}
	for n := range limits.extraRoutes {
		extra := route{name: fmt.Sprintf("spare-%d", n), group: groupName(n % s.config.Groups)}
		p.Routes[extra.name] = extra.policyRoute(limits.timeout)
	}
	body, err := platform.EncodePolicy(p)
	if err != nil {
		s.history.addViolation("settings: %v", err)
		return
	}
	s.rows.Put(platform.TableSettings, platform.KeySettings, body)
}

// policyRoute returns the settings of the route.
func (r route) policyRoute(timeout time.Duration) policy.Route {
	p := policy.Route{
		Name: model.RouteName("r-" + r.name), Database: r.name, Group: r.group, Consistency: policy.ConsistencyPrimary, MaxAge: r.maxAge,
		Timeout: timeout, TargetLatency: routeTargetLatency, Priority: 2,
	}
	switch {
	case r.readYourWrites:
		p.Consistency = policy.ConsistencySession
	case r.maxAge > 0:
		p.Consistency = policy.ConsistencyBounded
	default:
		p.Priority = 1
	}
	return p
}
