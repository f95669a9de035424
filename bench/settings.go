package bench

import (
	"encoding/json"
	"strings"

	"github.com/crocusshore/crocusshore/model"
)

type object map[string]any

// RouteOf returns the route of a group for a kind of work.
func RouteOf(kind string, group model.GroupName) model.RouteName {
	return model.RouteName(kind + string(group))
}

// The kinds of work. Each group has a route for each of them, whose settings are in routeSettings.
const (
	KindOrders  = "Orders"
	KindReserve = "Reserve"
	KindBrowse  = "Browse"
	KindFresh   = "Fresh"
)

// SettingsText returns the settings tree of the profile as JSON.
func (f *Fleet) SettingsText() string {
	tree := object{
		"Fleet":  object{"Rate": smallTeamRate, "Burst": smallTeamRate},
		"Teams":  f.teamSettings(),
		"Routes": f.routeSettings(),
		"Groups": f.groupSettings(),
	}
	text, _ := json.MarshalIndent(tree, "", "  ")
	return string(text)
}

func (f *Fleet) teamSettings() object {
	teams := object{}
	for _, team := range f.Profile.Teams {
		teams[string(team.Name)] = object{"Rate": team.Rate, "Burst": team.Burst}
	}
	return teams
}

func (f *Fleet) routeSettings() object {
	routes := object{}
	for _, group := range f.Profile.Groups {
		routes[string(RouteOf(KindOrders, group))] = object{"Group": group}
		routes[string(RouteOf(KindReserve, group))] = object{"Group": group, "Class": "Reservation"}
		routes[string(RouteOf(KindBrowse, group))] = object{"Group": group, "Class": "Browsing", "MaxAge": "5s"}
		routes[string(RouteOf(KindFresh, group))] = object{"Group": group, "MaxAge": "0s"}
		routes["Open"+string(group)] = object{"Group": group, "Open": true}
	}
	return routes
}

func (f *Fleet) groupSettings() object {
	groups := object{}
	for name, group := range f.Groups {
		instances := object{}
		for _, instance := range group.Instances {
			instances[string(instance.Name())] = object{
				"Address":     instance.Address.String(),
				"Domain":      instance.Domain(),
				"Slots":       f.Profile.Slots,
				"Connections": f.Profile.Connections,
			}
		}
		groups[string(name)] = object{"Instances": instances}
	}
	return groups
}

// withFleetSetting returns a settings tree with one more setting at its node Fleet.
func withFleetSetting(text, setting string) string {
	return strings.Replace(text, `"Fleet": {`, `"Fleet": { `+setting+`,`, 1)
}
