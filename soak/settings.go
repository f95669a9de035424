package soak

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/platform"
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
func (s *site) operate(version int, builders, crew string) {
	type fields map[string]any
	var routes, services []fields
	for _, r := range s.routes() {
		kind, priority := "primary", 1
		switch {
		case r.own:
			kind, priority = "read_your_writes", 2
		case r.age > 0:
			kind, priority = "bounded", 2
		}
		routes = append(routes, fields{
			"Name": "r-" + r.name, "Host": r.name, "Type": kind, "TimeoutMs": 1000, "TargetLatencyMs": 200, "Priority": priority,
			"Service": r.group, "MaxStalenessMs": r.age.Milliseconds(),
		})
	}
	for g := range s.config.Groups {
		services = append(services, fields{"Name": groupName(g), "MaxConns": 60, "SyncReplicas": 1})
	}
	body, err := json.Marshal(fields{
		"Version": version, "Routes": routes, "Services": services, "Limits": fields{"TxIdleMs": 2000},
		"Tenants": []fields{
			{"Name": teamBuilders, "ApiKeys": []string{builders}, "RatePerS": buildersRate, "Burst": buildersRate},
			{"Name": teamCrew, "ApiKeys": []string{crew}, "RatePerS": crewRate, "Burst": crewRate},
		},
	})
	if err != nil {
		s.ledger.breach("settings: %v", err)
		return
	}
	s.rows.Put(platform.TableSettings, platform.KeySettings, body)
}
