package node

import (
	"slices"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/conns"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
	"github.com/crocusshore/crocusshore/share"
	"github.com/crocusshore/crocusshore/state"
)

// defaultConnections is how many connections an instance is assumed to accept if the settings do not limit them for its group.
const defaultConnections = 20

// connectionBudget returns how many connections this VM may hold to an instance.
func (n *Node) connectionBudget(instance model.Instance) int {
	now := clock.Now()
	s := n.cache.Snapshot()
	limit := maxConnections(s, instance.Group)
	sameDomain, _ := n.rankings.Counts(now, instance.Domain)
	otherDomains := len(s.VMs) - sameDomain
	own, _ := n.rankings.Counts(now, n.config.Settings.Domain)
	local := instance.Domain == n.config.Settings.Domain
	primary := s.Primaries[instance.Group].Primary == instance.Name
	rank := slices.IndexFunc(n.connectionOwners(now, instance.Name), func(vm state.VM) bool { return vm.Name == n.config.Settings.VM })
	return conns.OwnerBudget(conns.EqualShare(limit, sameDomain, otherDomains, local, primary), own, rank)
}

func maxConnections(s *state.Snapshot, group model.GroupName) int {
	if s.Policy != nil {
		if g, known := s.Policy.Groups[group]; known && g.MaxConnections > 0 {
			return g.MaxConnections
		}
	}
	return defaultConnections
}

// team returns the limits of a team in the settings in effect, and whether it exists.
func (n *Node) team(name model.TeamName) (policy.Team, bool) {
	p := n.cache.Snapshot().Policy
	if p == nil {
		return policy.Team{}, false
	}
	team, known := p.Teams[name]
	return team, known
}

// weight returns the share of a team's demand that this failure domain expects without reports.
func (n *Node) weight() float64 {
	_, domains := n.rankings.Counts(clock.Now(), n.config.Settings.Domain)
	return share.Weight(domains)
}
