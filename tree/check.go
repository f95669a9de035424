package tree

import (
	"fmt"
	"math"

	"github.com/crocusshore/crocusshore/quota"
)

// check adds a finding for each mistake that can only be found in the complete tree.
func (t *Tree) check() {
	for _, path := range t.Paths() {
		node := t.nodes[path]
		t.checkParent(node)
		t.checkBurst(node)
		if node.Path.isRoute() {
			t.checkGroup(node)
		}
	}
}

// checkBurst adds a finding if the burst of a node is too small to distribute its rate over many VMs.
func (t *Tree) checkBurst(node *Node) {
	_, rate := node.Overrides["Rate"]
	_, burst := node.Overrides["Burst"]
	if !rate && !burst {
		return
	}
	settings := t.Settings(node.Path)
	if minBurst := quota.MinBurst(settings.Rate); settings.Rate > 0 && settings.Burst < minBurst {
		node.object.Report(fmt.Sprintf("the burst %g is too small for the rate %g", settings.Burst, settings.Rate),
			fmt.Sprintf("use a Burst of at least %g", math.Ceil(minBurst)))
	}
}

func (t *Tree) checkParent(node *Node) {
	if node.parentValue == nil || node.Parent == FleetPath {
		return
	}
	if t.nodes[node.Parent] == nil {
		node.parentValue.Report("the parent "+string(node.Parent)+" does not exist", "use Fleet, or a node such as Teams/NAME or Routes/NAME")
		return
	}
	if _, isTeam := node.Path.Team(); isTeam && node.Parent.isRoute() {
		node.parentValue.Report("a team cannot inherit from a route", "use Fleet or Teams/NAME")
		return
	}
	if t.isFirstInCycle(node) {
		node.parentValue.Report("the parents form a loop", "let one of these nodes inherit from Fleet")
	}
}

// isFirstInCycle reports whether a node is part of a cycle of parents and comes first in it by path, so that a cycle is
// reported once.
func (t *Tree) isFirstInCycle(node *Node) bool {
	seen := map[NodePath]bool{}
	for at := t.nodes[node.Parent]; at != nil && !seen[at.Path]; at = t.nodes[at.Parent] {
		if at.Path == node.Path {
			return true
		}
		if at.Path < node.Path {
			return false
		}
		seen[at.Path] = true
	}
	return false
}

func (t *Tree) checkGroup(node *Node) {
	if node.groupValue != nil {
		if t.groups[node.Group] == nil {
			node.groupValue.Report("the group "+string(node.Group)+" does not exist", "add it under /Groups or name another")
		}
		return
	}
	for _, at := range t.chain(node.Path) {
		if at.Group != "" {
			return
		}
	}
	node.object.Report("the route has no Group", `name one, such as "Group": "Truss1"`)
}
