package policy

import (
	"slices"

	"github.com/crocusshore/crocusshore/model"
)

type (
	// Regions maps failure domains to regions; nil means that the deployment has no regions.
	Regions map[model.Domain]model.Region

	// Homes are the home regions of a route and of a team. An empty list restricts nothing; if both are given, both apply.
	Homes struct {
		Route, Team []model.Region
	}
)

// Restricted reports whether the home regions restrict anything.
func (h Homes) Restricted() bool { return len(h.Route) > 0 || len(h.Team) > 0 }

// Allow reports whether statements may run in a failure domain. One whose region is unknown is not in any home region. Where the deployment has no
// regions, home regions restrict nothing.
func (h Homes) Allow(regions Regions, domain model.Domain) bool {
	if regions == nil || !h.Restricted() {
		return true
	}
	region, known := regions[domain]
	return known && includes(h.Route, region) && includes(h.Team, region)
}

func includes(homes []model.Region, region model.Region) bool {
	return len(homes) == 0 || slices.Contains(homes, region)
}

// HomesOf returns the home regions that apply to the statements of a team on a route.
func (p *Policy) HomesOf(route Route, team model.TeamName) Homes {
	return Homes{Route: route.HomeRegions, Team: p.Teams[team].HomeRegions}
}
