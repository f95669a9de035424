package entry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"

	"github.com/crocusshore/crocusshore/check"
	"github.com/crocusshore/crocusshore/config"
	"github.com/crocusshore/crocusshore/fleet"
	"github.com/crocusshore/crocusshore/limit"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/owner"
	"github.com/crocusshore/crocusshore/report"
	"github.com/crocusshore/crocusshore/retry"
	"github.com/crocusshore/crocusshore/store"
	"github.com/crocusshore/crocusshore/token"
	"github.com/crocusshore/crocusshore/view"
	"github.com/crocusshore/crocusshore/wait"
)

const (
	defaultBalancerDrainTime = time.Second
	maxIdleConnsPerHost      = 64
	readHeaderTimeout        = 5 * time.Second

	// retryBudgetShare and retryBudgetMax bound the retries after an overload and the repeats of requests with an unknown
	// outcome: each request earns retryBudgetShare of a retry, and at most retryBudgetMax can be saved up.
	retryBudgetShare = 0.2
	retryBudgetMax   = 50
)

// Server is the daemon of one entry VM.
type Server struct {
	options Options
	config  config.Entry
	now     func() time.Time
	log     *log.Logger
	metrics tally.Scope

	boot         model.BootID
	sealer       *token.Sealer
	store        *store.Client
	directory    *fleet.Directory
	views        *view.Cache
	changeLog    *view.Log
	committer    *view.Committer
	executor     *owner.Executor
	limiter      *limit.Limiter
	issuer       *limit.Issuer
	prober       *prober
	observations *observations
	budget       *lockedBudget
	// outages forecasts when instances that requests wait for are available again.
	outages      *wait.Outages[supply]
	burnRecorder *report.Recorder
	violations   check.ViolationLog

	leaving       atomic.Bool
	refuseNewWork atomic.Bool
	inFlight      atomic.Int64
	startedAt     time.Time
	cancel        context.CancelFunc
	tasks         sync.WaitGroup
	servers       []*http.Server
	caller        *http.Server

	// CallerAddress, PeerAddress and OperatorAddress are the addresses on which the server listens once it has started.
	CallerAddress, PeerAddress, OperatorAddress netip.AddrPort
}

// New returns a server that is not started yet.
func New(options Options) (*Server, error) {
	sealer, err := token.New(options.Config.FleetKeys...)
	if err != nil {
		return nil, err
	}
	s := &Server{options: withDefaults(options), config: options.Config, sealer: sealer}
	s.now, s.log, s.metrics = s.options.Now, s.options.Log, s.options.Metrics
	s.boot = model.BootID(uuid.NewString())
	s.store, err = store.New(store.Config{Address: s.config.Platform, Transport: s.options.Transport})
	if err != nil {
		return nil, err
	}
	s.views = view.NewCache(s.boot)
	s.changeLog = view.NewLog(s.store, s.store)
	s.executor = owner.New(owner.Config{Dial: owner.HTTPDialer(s.options.Transport), Now: s.now, NewID: uuid.NewString})
	s.limiter = limit.New(grantClient{s}, s.now)
	s.issuer = limit.NewIssuer(s.boot)
	s.prober = newProber(s)
	s.observations = newObservations()
	s.burnRecorder = report.NewRecorder()
	s.outages = wait.NewOutages[supply]()
	s.budget = &lockedBudget{budget: retry.NewBudget(retryBudgetShare, retryBudgetMax)}
	return s, nil
}

func withDefaults(o Options) Options {
	if o.Transport == nil {
		o.Transport = &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, IdleConnTimeout: time.Minute}
	}
	if o.Middleware == nil {
		o.Middleware = func(next http.Handler) http.Handler { return next }
	}
	if o.Log == nil {
		o.Log = log.New(discard{})
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.OnAdmitted == nil {
		o.OnAdmitted = func(string, time.Time) {}
	}
	if o.BalancerDrainTime == 0 {
		o.BalancerDrainTime = defaultBalancerDrainTime
	}
	return o
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// Start opens the listeners and starts the background tasks; they end with Stop or Kill.
func (s *Server) Start(ctx context.Context) error {
	ctx, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	s.startedAt = s.now()
	certificates, err := s.loadCertificates()
	if err != nil {
		return err
	}
	if err := s.listen(certificates); err != nil {
		s.Kill()
		return err
	}
	s.committer = view.NewCommitter(view.CommitterConfig{
		Cache:     s.views,
		Log:       s.changeLog,
		Announcer: announcer{s},
		Now:       s.now,
		NewID:     uuid.NewString,
		OnError:   func(err error) { s.log.Warn("background step failed", "error", err) },
	})
	s.startBackgroundTasks(ctx)
	s.log.Info("entry started", "vm", s.config.VM, "domain", s.config.Domain, "caller", s.CallerAddress)
	return nil
}

// startBackgroundTasks starts one goroutine for each background task.
func (s *Server) startBackgroundTasks(ctx context.Context) {
	for _, task := range []func(context.Context){
		s.runStoreSync, s.runStewardSync, s.runRosterSync,
		s.prober.run, s.planGroups, s.maintainShards, s.maintainStewards,
		func(ctx context.Context) { s.executor.Sweep(ctx, s.isKeyInvalid) },
	} {
		s.tasks.Go(func() { task(ctx) })
	}
}

func (s *Server) loadCertificates() (*config.Certificates, error) {
	if !s.config.TLS.Enabled() {
		return nil, nil
	}
	return config.LoadCertificates(s.config.TLS, s.now)
}

func (s *Server) listen(certificates *config.Certificates) error {
	caller, err := s.callerHandler()
	if err != nil {
		return err
	}
	operator, err := s.operatorHandler()
	if err != nil {
		return err
	}
	// Listen for peers first: the directory needs the address of that listener.
	peers := http.NewServeMux()
	if s.PeerAddress, _, err = s.serve(s.config.Peer, peers, certificates, true); err != nil {
		return err
	}
	s.directory = s.newDirectory(certificates)
	peers.Handle(s.peerHandler())
	if s.CallerAddress, s.caller, err = s.serve(s.config.Caller, caller, certificates, false); err != nil {
		return err
	}
	s.OperatorAddress, _, err = s.serve(s.config.Operator, operator, certificates, false)
	return err
}

func (s *Server) newDirectory(certificates *config.Certificates) *fleet.Directory {
	directory := fleet.DirectoryConfig{
		Self:      model.VM{ID: s.config.VM, Domain: s.config.Domain, Address: s.PeerAddress},
		Transport: s.options.Transport,
		Scheme:    "http",
	}
	if certificates != nil {
		directory.Scheme = "https"
		directory.Transport = &http.Transport{TLSClientConfig: certificates.ClientConfig(), MaxIdleConnsPerHost: maxIdleConnsPerHost}
	}
	return fleet.New(directory)
}

func (s *Server) serve(address netip.AddrPort, handler http.Handler, certificates *config.Certificates, mutualTLS bool) (netip.AddrPort, *http.Server, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return netip.AddrPort{}, nil, errors.WithHintf(err, "choose a free address in place of %s", address)
	}
	server := &http.Server{
		Handler:           s.options.Middleware(handler),
		ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog:          s.log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
	s.servers = append(s.servers, server)
	bound := listener.Addr().(*net.TCPAddr).AddrPort()
	if certificates != nil {
		server.TLSConfig = certificates.ServerConfig(mutualTLS)
		go func() { _ = server.ServeTLS(listener, "", "") }()
		return bound, server, nil
	}
	go func() { _ = server.Serve(listener) }()
	return bound, server, nil
}

// Self returns this VM with the address at which its peers reach it.
func (s *Server) Self() model.VM { return s.directory.Self() }

// Violations returns the violations of invariants that this VM has recorded.
func (s *Server) Violations() *check.ViolationLog { return &s.violations }

// View returns the newest view that this VM holds.
func (s *Server) View() *view.State { return s.views.State() }

// HasSettings reports whether this VM has read the settings since its start; until then it serves no request.
func (s *Server) HasSettings() bool { return s.views.State().Version > 0 }

// OpenTransactions returns how many interactive transactions this VM holds.
func (s *Server) OpenTransactions() int { return s.executor.OpenTransactions() }

// Kill stops the server at once, as a crash would.
func (s *Server) Kill() {
	if s.cancel != nil {
		s.cancel()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.tasks.Wait()
}
