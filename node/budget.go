package node

import (
	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/conns"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
	"github.com/crocusshore/crocusshore/share"
)

// defaultConnections is how many connections an instance is believed to take while no settings name its group.
const defaultConnections = 20

// budget returns how many connections this VM may hold to an instance.
func (n *Node) budget(instance model.Instance) int {
	s := n.world.State()
	most := defaultConnections
	if s.Policy != nil {
		if group, known := s.Policy.Groups[instance.Group]; known && group.Connections > 0 {
			most = group.Connections
		}
	}
	near, far := 0, 0
	for _, vm := range s.VMs {
		if vm.Domain == instance.Domain {
			near++
		} else {
			far++
		}
	}
	primary := s.Leads[instance.Group].Primary == instance.Name
	return conns.Budget(most, near, far, instance.Domain == n.config.Settings.Domain, primary)
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
