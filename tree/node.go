package tree

import (
	"encoding/json"
	"strings"

	"github.com/crocusshore/crocusshore/jsonc"
	"github.com/crocusshore/crocusshore/model"
)

// NodePath is the path of a node, such as Fleet, Teams/Estimators or Routes/Orders.
type NodePath string

const (
	// FleetPath is the root of the tree.
	FleetPath NodePath = "Fleet"

	teamsPrefix  = "Teams/"
	routesPrefix = "Routes/"
	groupsPrefix = "Groups/"
)

// TeamPath returns the path of a team.
func TeamPath(team model.TeamName) NodePath { return NodePath(teamsPrefix + string(team)) }

// RoutePath returns the path of a route.
func RoutePath(route model.RouteName) NodePath { return NodePath(routesPrefix + string(route)) }

// GroupPath returns the path of a database group.
func GroupPath(group model.GroupName) NodePath { return NodePath(groupsPrefix + string(group)) }

// Team returns the team that the path names, and whether it names one.
func (p NodePath) Team() (model.TeamName, bool) {
	name, ok := strings.CutPrefix(string(p), teamsPrefix)
	return model.TeamName(name), ok
}

func (p NodePath) isRoute() bool { return strings.HasPrefix(string(p), routesPrefix) }

// Node is the fleet, a team or a route, with the settings that it overrides.
type Node struct {
	Path      NodePath
	Parent    NodePath
	Group     model.GroupName
	Open      bool
	Overrides map[string]any
	JSON      json.RawMessage

	parentValue *jsonc.Value
	groupValue  *jsonc.Value
	object      *jsonc.Object
}

func readNode(path NodePath, object *jsonc.Object, value json.RawMessage) *Node {
	n := &Node{Path: path, Overrides: map[string]any{}, JSON: value, object: object}
	if path != FleetPath {
		n.readParent()
	}
	if path.isRoute() {
		n.readRoute()
	}
	for _, o := range options {
		n.readOption(o)
	}
	object.ReportUnknown()
	return n
}

func (n *Node) readParent() {
	n.Parent = FleetPath
	n.parentValue = n.object.Get("Parent")
	if n.parentValue != nil {
		n.Parent = NodePath(n.parentValue.Text())
	}
}

func (n *Node) readRoute() {
	n.groupValue = n.object.Get("Group")
	if n.groupValue != nil {
		n.Group = model.GroupName(n.groupValue.Text())
	}
	if open := n.object.Get("Open"); open != nil {
		n.Open = open.Bool()
	}
}

func (n *Node) readOption(o option) {
	if o.fleetOnly && n.Path != FleetPath {
		n.reportFleetOption(o)
		return
	}
	if value := n.object.Get(o.name); value != nil {
		n.Overrides[o.name] = o.read(value)
	}
}

func (n *Node) reportFleetOption(o option) {
	for _, name := range n.object.Names() {
		if name == o.name {
			n.object.Get(name).Report(name+" holds for the whole fleet", "move it to /Fleet")
		}
	}
}
