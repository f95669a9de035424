package tree

import "github.com/crocusshore/crocusshore/model"

// EffectiveSetting is the effective value of one setting of a node. From is the path of the node that sets the value, or
// "default".
type EffectiveSetting struct {
	Name  string
	Value string
	From  string
}

const fromDefault = "default"

// chain returns a node and its ancestors, nearest first, and the fleet last. It stops at a cycle or a missing parent.
func (t *Tree) chain(path NodePath) []*Node {
	var nodes []*Node
	seen := map[NodePath]bool{}
	for path != "" && !seen[path] {
		seen[path] = true
		if node := t.nodes[path]; node != nil {
			nodes = append(nodes, node)
			path = node.Parent
			continue
		}
		path = ""
	}
	if !seen[FleetPath] && t.nodes[FleetPath] != nil {
		nodes = append(nodes, t.nodes[FleetPath])
	}
	return nodes
}

// Settings returns the effective settings of a node.
func (t *Tree) Settings(path NodePath) Settings {
	settings := Defaults()
	chain := t.chain(path)
	for i := len(chain) - 1; i >= 0; i-- {
		for _, o := range options {
			if value, ok := chain[i].Overrides[o.name]; ok {
				o.set(&settings, value)
			}
		}
	}
	return settings
}

// Explain returns the effective settings of a node, each with the node that it comes from.
func (t *Tree) Explain(path NodePath) []EffectiveSetting {
	settings := t.Settings(path)
	chain := t.chain(path)
	explained := make([]EffectiveSetting, 0, len(options))
	for _, o := range options {
		from := fromDefault
		for _, node := range chain {
			if _, ok := node.Overrides[o.name]; ok {
				from = string(node.Path)
				break
			}
		}
		explained = append(explained, EffectiveSetting{Name: o.name, Value: formatValue(o.get(settings)), From: from})
	}
	return explained
}

// Route is a route with the inherited values that a request on it needs.
type Route struct {
	Name     model.RouteName
	Group    model.GroupName
	Open     bool
	Team     model.TeamName
	Settings Settings
	// OwnLimit is set if the route or a parent route sets a Rate: the route then has a limit in addition to the limit of its team.
	OwnLimit bool
}

// Route returns a route and whether it exists; Team is empty where the route belongs to no team.
func (t *Tree) Route(name model.RouteName) (Route, bool) {
	path := RoutePath(name)
	node := t.nodes[path]
	if node == nil {
		return Route{}, false
	}
	route := Route{Name: name, Open: node.Open, Settings: t.Settings(path)}
	for _, at := range t.chain(path) {
		if route.Group == "" {
			route.Group = at.Group
		}
		if team, ok := at.Path.Team(); ok && route.Team == "" {
			route.Team = team
		}
		if _, limited := at.Overrides["Rate"]; limited && at.Path.isRoute() {
			route.OwnLimit = true
		}
	}
	return route, true
}

// Routes returns all routes, sorted by name.
func (t *Tree) Routes() []Route {
	var routes []Route
	for _, path := range t.Paths() {
		if _, name := path.split(); path.isRoute() {
			route, _ := t.Route(model.RouteName(name))
			routes = append(routes, route)
		}
	}
	return routes
}
