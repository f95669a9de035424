package node

import (
	"slices"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/conns"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
	"github.com/crocusshore/crocusshore/share"
	"github.com/crocusshore/crocusshore/world"
)

// defaultConnections is how many connections an instance is believed to take while no settings name its group.
const defaultConnections = 20

// connectionBudget returns how many connections this VM may hold to an instance.
func (n *Node) connectionBudget(instance model.Instance) int {
	now := clock.Now()
	s := n.world.Snapshot()
	most := maxConnections(s, instance.Group)
	near, _ := n.rankings.Counts(now, instance.Domain)
	far := len(s.VMs) - near
	own, _ := n.rankings.Counts(now, n.config.Settings.Domain)
	local := instance.Domain == n.config.Settings.Domain
	primary := s.Primaries[instance.Group].Primary == instance.Name
	rank := slices.IndexFunc(n.connectionOwners(now, instance.Name), func(vm world.VM) bool { return vm.Name == n.config.Settings.VM })
	return conns.OwnerBudget(conns.EqualShare(most, near, far, local, primary), own, rank)
}

func maxConnections(s *world.Snapshot, group model.GroupName) int {
	if s.Policy != nil {
		if g, known := s.Policy.Groups[group]; known && g.MaxConnections > 0 {
			return g.MaxConnections
		}
	}
	return defaultConnections
}

// team returns the limits of a team as the settings in force state them.
func (n *Node) team(name model.TeamName) (policy.Team, bool) {
	p := n.world.Snapshot().Policy
	if p == nil {
		return policy.Team{}, false
	}
	team, known := p.Teams[name]
	return team, known
}

// weight returns the part of a team's callers that come to this failure domain while nothing is known.
func (n *Node) weight() float64 {
	_, domains := n.rankings.Counts(clock.Now(), n.config.Settings.Domain)
	return share.Weight(domains)
}
