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

// budget returns how many connections this VM may hold to an instance.
func (n *Node) budget(instance model.Instance) int {
	now := clock.Now()
	s := n.world.State()
	most := mostConnections(s, instance.Group)
	near, _ := n.ranks.Size(now, instance.Domain)
	far := len(s.VMs) - near
	own, _ := n.ranks.Size(now, n.config.Settings.Domain)
	local := instance.Domain == n.config.Settings.Domain
	primary := s.Leads[instance.Group].Primary == instance.Name
	rank := slices.IndexFunc(n.homes(now, instance.Name), func(vm world.VM) bool { return vm.Name == n.config.Settings.VM })
	return conns.HomeBudget(conns.Part(most, near, far, local, primary), own, rank)
}

func mostConnections(s *world.State, group model.GroupName) int {
	if s.Policy != nil {
		if g, known := s.Policy.Groups[group]; known && g.Connections > 0 {
			return g.Connections
		}
	}
	return defaultConnections
}

// team returns the limits of a team as the settings in force state them.
func (n *Node) team(name model.TeamName) (policy.Team, bool) {
	p := n.world.State().Policy
	if p == nil {
		return policy.Team{}, false
	}
	team, known := p.Teams[name]
	return team, known
}

// weight returns the part of a team's callers that come to this failure domain while nothing is known.
func (n *Node) weight() float64 {
	_, domains := n.ranks.Size(clock.Now(), n.config.Settings.Domain)
	return share.Weight(domains)
}
