package audit

import (
	"fmt"
	"slices"

	"github.com/crocusshore/crocusshore/model"
)

// checkHomes reports routes and teams whose home regions leave no region for any statement.
func (c *checker) checkHomes() {
	var teams []Team
	for _, t := range c.draft.Teams {
		if t.usable() && len(t.usableKeys()) > 0 {
			teams = append(teams, t)
		}
	}
	var routes []Route
	for _, r := range c.draft.Routes {
		if r.usable() {
			routes = append(routes, r)
		}
	}
	for _, r := range routes {
		c.checkRouteHomes(r, teams)
	}
	for _, t := range teams {
		c.checkTeamHomes(t, routes)
	}
}

// checkRouteHomes skips public routes: callers without a key have no home regions.
func (c *checker) checkRouteHomes(r Route, teams []Team) {
	shares := func(t Team) bool { return shareRegion(r.HomeRegions, t.HomeRegions) }
	if r.Public || len(teams) == 0 || slices.ContainsFunc(teams, shares) {
		return
	}
	c.addError(r.Entry, TermHomeRegions, fmt.Sprintf("no %s has a region of the %s in its %s, and every statement is refused",
		c.word(TermTeam), c.named(TermRoute, string(r.Name)), c.word(TermHomeRegions)), "add a region that both have")
}

func (c *checker) checkTeamHomes(t Team, routes []Route) {
	shares := func(r Route) bool { return shareRegion(r.HomeRegions, t.HomeRegions) }
	if len(routes) == 0 || slices.ContainsFunc(routes, shares) {
		return
	}
	c.addError(t.Entry, TermHomeRegions, fmt.Sprintf("no %s has a region of the %s in its %s, and every statement is refused",
		c.word(TermRoute), c.named(TermTeam, string(t.Name)), c.word(TermHomeRegions)), "add a region that both have")
}

// shareRegion reports whether two lists of home regions allow a region; an empty list allows all.
func shareRegion(a, b []model.Region) bool {
	return len(a) == 0 || len(b) == 0 || slices.ContainsFunc(a, func(r model.Region) bool { return slices.Contains(b, r) })
}
