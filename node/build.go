package node

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/crocusshore/crocusshore/coord"
	"github.com/crocusshore/crocusshore/evac"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/peers"
	"github.com/crocusshore/crocusshore/platform"
	"github.com/crocusshore/crocusshore/policy"
	"github.com/crocusshore/crocusshore/remote"
	"github.com/crocusshore/crocusshore/serve"
	"github.com/crocusshore/crocusshore/status"
	"github.com/crocusshore/crocusshore/watch"
)

// newServer returns the server of callers' sessions, which may use the connections of other VMs.
func (n *Node) newServer(statuses *status.Board) *serve.Server {
	s := n.config.Settings
	return serve.New(serve.Config{
		Domain: s.Domain, Cache: n.cache, Pool: n.pool, Source: n.newSource(statuses), Statuses: statuses, Samples: n.samples, Tracker: n.tracker,
		Limiter: n.limiter, Formatter: platform.StatementFormatter{}, Log: n.config.Log, Metrics: n.config.Scope, RetryDetail: platform.RetryDetail,
		Counts: n.counts, IsReader: func() bool { return n.watcher.Role() == watch.RoleReader },
		EvacuationBound: cmp.Or(s.Evacuation, evac.DefaultBound), Regions: func() policy.Regions { return n.settings.Load().Regions },
	})
}

// newSource returns the source of connections. It asks the server, which is created after it, whether an instance may be used.
func (n *Node) newSource(statuses *status.Board) *remote.Source {
	return remote.NewSource(remote.SourceConfig{
		Pool: n.pool, Statuses: statuses, Client: remote.NewClient(), Owners: n.teamConnectionOwners,
		BeginPrimaryUse: func(now time.Time, instance model.Instance, term model.Term) (func(), bool) {
			return n.server.BeginPrimaryUse(now, instance, term)
		},
		MayRun: func(now time.Time, instance model.Instance, open bool) bool {
			return n.server.MayRun(now, instance, open)
		},
	})
}

// newWatcher returns the watcher of the store's tables.
func (n *Node) newWatcher() *watch.Watcher {
	return watch.New(watch.Config{
		Open: n.config.OpenRows, Cache: n.cache, Log: n.config.Log, Metrics: n.config.Scope,
		Settings: platform.TableSettings, Instances: platform.TableInstances, SettingsKey: platform.KeySettings,
		DecodePolicy: platform.NewPolicyDecoder().Decode, DecodeInstance: platform.DecodeInstance, DecodeEvacuation: platform.DecodeEvacuation,
		OnRemoved: n.pool.Drop,
	})
}

func (n *Node) newRelay() *peers.Relay {
	s := n.config.Settings
	return &peers.Relay{
		Self: s.VM, Domain: s.Domain, Rankings: n.rankings, Seeds: func() []netip.AddrPort { return n.settings.Load().Seeds },
		Cache: n.cache, Watcher: n.watcher, Samples: n.samples, Tracker: n.tracker, Client: peers.NewClient(), Listener: n.contact, Log: n.config.Log,
	}
}

func (n *Node) newSupervisor() *coord.Supervisor {
	s := n.config.Settings
	return coord.New(coord.Config{
		Self: s.VM, Domain: s.Domain, Boot: n.boot, Cache: n.cache, Rankings: n.rankings, Tracker: n.tracker, Server: n.server, Client: peers.NewClient(), Responder: n,
		Dialer: n.config.Dialer, Rows: n.config.OpenRows(), Promotions: n.config.Promotions,
		LeaseTTL: leaseTTL, Log: n.config.Log, Metrics: n.config.Scope,
	})
}
