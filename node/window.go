package node

import (
	"slices"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/conns"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
	"github.com/crocusshore/crocusshore/state"
	"github.com/crocusshore/crocusshore/window"
)

// limitsStatements reports whether windows limit the statements at an instance: where teams have to share connections, statements of one team wait
// for those of others, and the instance serves them in order of arrival.
func (n *Node) limitsStatements(instance model.Instance) bool {
	s := n.cache.Snapshot()
	return s.Policy != nil && maxConnections(s, instance.Group) < policy.MinConnectionsPerTeam*len(s.Policy.Teams)
}

// coldRate returns the rate at which this VM may use an instance that is cold, or false if it must not. Without a limit in the settings it
// returns nil.
func (n *Node) coldRate(instance model.Instance) (rate *window.Rate, ok bool) {
	s := n.cache.Snapshot()
	if s.Policy == nil || s.Policy.Groups[instance.Group].ColdRate <= 0 {
		return nil, true
	}
	now := clock.Now()
	owners := n.connectionOwners(now, instance.Name)
	if !slices.ContainsFunc(owners, func(vm state.VM) bool { return vm.Name == n.config.Settings.VM }) {
		return nil, false
	}
	settings := n.settings.Load()
	return window.NewRate(window.RateConfig{
		PerSecond: s.Policy.Groups[instance.Group].ColdRate, Excess: settings.ColdExcess, Slack: settings.ColdSlack,
		Senders: conns.MaxOwners * len(n.rankings.Domains(now)),
	})
}
