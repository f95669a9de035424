package node

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/conns"
	"github.com/crocusshore/crocusshore/memory"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/peers"
	"github.com/crocusshore/crocusshore/place"
	"github.com/crocusshore/crocusshore/platform"
	"github.com/crocusshore/crocusshore/remote"
	"github.com/crocusshore/crocusshore/sample"
	"github.com/crocusshore/crocusshore/serve"
	"github.com/crocusshore/crocusshore/share"
	"github.com/crocusshore/crocusshore/state"
	"github.com/crocusshore/crocusshore/status"
	"github.com/crocusshore/crocusshore/watch"
)

const (
	// leaseTTL is how long a primary may be used after the newest evidence for the lease; it spans two calls to the store and a lost one.
	leaseTTL = 2 * time.Second
	// exitMargin is how long before SIGKILL the process stops serving and exits by itself.
	exitMargin = 500 * time.Millisecond
	// answerMargin is how long before that no statement runs any more, so that all sessions are answered and end.
	answerMargin = 200 * time.Millisecond
	// lateMargin is how much later the process exits if sessions have not ended by then, as happens when it gets no processor time.
	lateMargin = 150 * time.Millisecond
	// balancerLag is how long the load balancer still sends new connections to a VM that is not ready.
	balancerLag = 2200 * time.Millisecond
	// drainPollInterval is the interval at which a stopping process checks whether its sessions have ended.
	drainPollInterval = 50 * time.Millisecond
)

type (
	// Config holds the settings and dependencies of a node.
	Config struct {
		// Settings are the settings at start, SettingsBody the content of the file that they were read from, and SettingsPath its path.
		Settings     platform.Settings
		SettingsBody []byte
		SettingsPath string
		// Signals are the signals of the process.
		Signals Signals
		// Dialer connects to instances, OpenRows returns a client of the platform's store, and Promotions orders promotions at the platform.
		Dialer         model.Dialer
		OpenRows       func() model.RowStore
		Promotions     model.Promotions
		Metrics        netip.AddrPort
		Log            *log.Logger
		Scope          tally.Scope
		MetricsHandler http.Handler
	}

	// Node is the daemon of one VM.
	Node struct {
		config Config
		boot   model.BootID
		// startedAt is when the process started; earlier processes of the VM had ended by then.
		startedAt    time.Time
		cache        *state.Cache
		pool         *conns.Pool
		samples      *sample.Samples
		tracker      *place.Tracker
		rankings     *state.Rankings
		limiter      *peers.RateLimiter
		server       *serve.Server
		remoteServer *remote.Server
		watcher      *watch.Watcher
		registrar    *peers.Registrar
		contact      *contactMonitor
		// budget and gates limit what clients may take of the memory and the descriptors, and counts counts what they were refused.
		budget *memory.Budget
		gates  gates
		counts *memory.Counts

		stopping atomic.Bool
		// isolated reports that this VM is cut off from the store and the groups, so that other VMs serve callers better.
		isolated atomic.Bool

		// settings are the settings in effect, and body the content of the file when it was last read.
		settings atomic.Pointer[platform.Settings]
		body     []byte
	}
)

// New returns a node that is not started.
func New(config Config) *Node {
	n := &Node{config: config, body: config.SettingsBody, boot: model.BootID(uuid.NewString()), startedAt: clock.Now(), samples: sample.New(), tracker: place.NewTracker()}
	s := config.Settings
	n.settings.Store(&s)
	n.cache = state.New(state.Config{VM: s.VM, Boot: n.boot, LeaseTTL: leaseTTL})
	n.pool = conns.New(conns.Config{
		Dialer: config.Dialer, Formatter: platform.StatementFormatter{}, Budget: n.connectionBudget, Log: config.Log, Metrics: config.Scope,
		Limited: n.limitsStatements, ColdRate: n.coldRate,
	})
	limits := memory.LimitsFor(s.MemoryLimit, s.MaxFds)
	n.counts = &memory.Counts{}
	n.budget, n.gates = memory.NewBudget(limits, n.counts), newGates(limits, n.counts)
	n.rankings = state.NewRankings(n.cache)
	domainLimiter := share.New(clock.Now(), share.Config{
		Domain: s.Domain, Weight: n.weight, Team: n.team, Slack: s.RateSlack, Excess: s.RateExcess, Window: s.RateWindow,
	})
	n.limiter = peers.NewRateLimiter(clock.Now(), peers.RateLimiterConfig{
		Self: s.VM, Domain: s.Domain, Rankings: n.rankings, Limiter: domainLimiter, Team: n.team, Log: config.Log, Metrics: config.Scope, Counts: n.counts,
	})
	statuses := status.NewBoard(config.Scope)
	n.server = n.newServer(statuses)
	n.remoteServer = remote.NewServer(remote.ServerConfig{
		Pool: n.pool, Statuses: statuses, LocalVM: n.server, Log: config.Log, Budget: n.budget, Counts: n.counts,
	})
	n.watcher = n.newWatcher()
	n.contact = newContactMonitor(contactConfig{
		Domain: s.Domain, Rankings: n.rankings, Prober: n.limiter.Prober(), Cache: n.cache, Watcher: n.watcher, Tracker: n.tracker,
		Log: config.Log, Metrics: config.Scope,
	})
	self := state.VM{Name: s.VM, Domain: s.Domain, Peers: s.Peers, Gossip: n.firstPortAddress(), Boot: n.boot}
	n.registrar = &peers.Registrar{Self: self, Rows: config.OpenRows(), Cache: n.cache, Log: config.Log, OnWritten: n.watcher.RequireVersion}
	return n
}

// firstPortAddress returns the address at the first port of the range: over UDP for datagrams of other VMs, over TCP for their statements.
func (n *Node) firstPortAddress() netip.AddrPort {
	return netip.AddrPortFrom(n.config.Settings.Address, n.config.Settings.FirstPort)
}

// Run serves until SIGTERM and then shuts down without interrupting an operation.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := n.config.Settings
	n.config.Log.Info("daemon starting", "vm", s.VM, "domain", s.Domain, "boot", n.boot, "callers", s.Callers, "store", s.Store)
	callers, err := net.Listen("tcp", s.Callers.String())
	if err != nil {
		return errors.WithHint(err, "is another process using the callers' address?")
	}
	if err := n.limiter.Listen(n.firstPortAddress()); err != nil {
		return err
	}
	if err := n.listen(); err != nil {
		return err
	}
	if err := n.listenRemote(); err != nil {
		return err
	}
	n.watcher.Start(ctx)
	go n.registrar.Run(ctx)
	go n.limiter.Run(ctx)
	go n.newRelay().Run(ctx)
	go n.server.RefreshSamples(ctx)
	go n.monitorReachability(ctx)
	go n.newSupervisor().Run(ctx)
	go n.reportLimits(ctx)
	in := n.newCallerEntrance(callers)
	go in.acceptEach(n.openSession)
	return n.wait(ctx, in)
}

// wait handles signals and changes of the settings file until the process has to end.
func (n *Node) wait(ctx context.Context, callers *entrance) error {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			n.reload(false)
		case <-n.config.Signals.Reload:
			n.reload(true)
		case <-n.config.Signals.Stop:
			n.shutdown(ctx, callers)
			return nil
		}
	}
}

// shutdown shuts the daemon down: it takes the VM out of rotation and ends its sessions, those in a transaction last.
func (n *Node) shutdown(ctx context.Context, callers *entrance) {
	now := clock.Now()
	n.stopping.Store(true)
	n.reload(false)
	grace := n.settings.Load().Grace
	n.config.Log.Info("daemon stopping", "grace", grace, "sessions", n.server.SessionCount())
	n.remoteServer.StopAccepting()
	exitAt := now.Add(grace - exitMargin)
	plan := serve.DrainPlan{TransactionsUntil: now.Add(grace / 2), StatementsUntil: exitAt.Add(-answerMargin)}
	go n.server.Drain(ctx, plan)
	awaitUntil(plan.StatementsUntil, func() bool { return clock.Now().Sub(now) >= balancerLag && !callers.connectionWaits() && n.idle() })
	callers.close()
	ended := func() bool { return callers.hasEnded() && n.idle() }
	awaitUntil(exitAt, ended)
	n.server.GiveUp()
	awaitUntil(exitAt.Add(lateMargin), func() bool {
		n.server.GiveUp()
		return ended()
	})
	n.registrar.Remove(ctx)
	n.config.Log.Info("daemon stopped", "sessions", n.server.SessionCount(), "after", clock.Now().Sub(now).Round(time.Millisecond))
}

// idle reports whether no caller has a session here and no other VM uses a connection of this one.
func (n *Node) idle() bool {
	return n.server.SessionCount() == 0 && n.remoteServer.ConnectionsInUse() == 0
}

// awaitUntil waits until a condition holds, but no longer than until an instant.
func awaitUntil(until time.Time, condition func() bool) {
	for clock.Now().Before(until) && !condition() {
		time.Sleep(drainPollInterval)
	}
}
