package serve

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/crocusshore/crocusshore/conns"
	"github.com/crocusshore/crocusshore/memory"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/place"
	"github.com/crocusshore/crocusshore/policy"
	"github.com/crocusshore/crocusshore/sample"
	"github.com/crocusshore/crocusshore/share"
	"github.com/crocusshore/crocusshore/state"
	"github.com/crocusshore/crocusshore/status"
	"github.com/crocusshore/crocusshore/wait"
)

type (
	// Limiter decides whether an operation of a team is within its rate.
	Limiter interface {
		Admit(now time.Time, team policy.Team) share.Decision
	}

	// Source provides connections to instances.
	Source interface {
		// Get returns a connection; where it returns an error, nothing was sent.
		Get(now time.Time, request conns.Request) (model.PooledConn, error)
		// Put gives a connection back; a broken one is closed.
		Put(now time.Time, connection model.PooledConn)
	}

	// Config holds the dependencies of a server.
	Config struct {
		Domain model.Domain
		Cache  *state.Cache
		// Pool holds the connections of this VM; Source also provides those of other VMs.
		Pool   *conns.Pool
		Source Source
		// Statuses receives what the answers of primaries to statements show of their state; nil receives nothing.
		Statuses  *status.Board
		Samples   *sample.Samples
		Tracker   *place.Tracker
		Limiter   Limiter
		Formatter model.StatementFormatter
		Log       *log.Logger
		Metrics   tally.Scope
		// EvacuationBound is the time after the request for an evacuation from which no statement of a caller may reach the failure domain.
		EvacuationBound time.Duration
		// Regions returns the regions of the failure domains; nil is a deployment without regions.
		Regions func() policy.Regions
		// Counts, if set, counts what is left out of the log.
		Counts *memory.Counts
		// IsReader reports whether this VM takes samples for its failure domain.
		IsReader func() bool
		// RetryDetail renders why a caller is refused and when to try again.
		RetryDetail func(reason string, after time.Duration) string
	}

	// Server serves callers; it is safe for concurrent use.
	Server struct {
		config     Config
		inflight   *inflight
		commits    *commitTracker
		sent       *sentCommits
		readDemand *readDemand
		// outages forecasts when instances that operations wait for are available again.
		outages *wait.Outages[supply]
		// pollRounds limits the rounds of requests for log positions and term checks.
		pollRounds *pollRounds
		// refusedLines limits the log lines about messages and connections that are refused.
		refusedLines memory.Lines
		// drain is the plan by which the server stops, and nil while it does not stop.
		drain atomic.Pointer[DrainPlan]
		// shedding is set while callers are served better by other VMs; idle sessions end then.
		shedding atomic.Bool
		// evacuatedCount is the number of evacuated failure domains as last reported in the metrics.
		evacuatedCount int
		// confirmMu is write-locked while a confirmation is recorded, and read-locked while an answer is about to be acknowledged.
		confirmMu sync.RWMutex

		mu       sync.Mutex
		sessions map[*callerSession]struct{}
	}
)

// New returns a server without callers.
func New(config Config) *Server {
	return &Server{config: config, inflight: newInflight(), commits: newCommitTracker(), sent: newSentCommits(), readDemand: newReadDemand(), outages: wait.NewOutages[supply](), pollRounds: newPollRounds(), sessions: map[*callerSession]struct{}{}}
}

// Open counts the session of a caller as open; the returned function serves it until it ends.
func (s *Server) Open(conn model.CallerConn) (serve func()) { return s.OpenLimited(conn, nil, nil) }

// OpenLimited is Open for a connection with limits on its memory and on the sessions of its team.
func (s *Server) OpenLimited(conn model.CallerConn, account *memory.Account, visit *memory.Visit) (serve func()) {
	c := newCallerSession(s, conn)
	c.limit(account, visit)
	s.mu.Lock()
	s.sessions[c] = struct{}{}
	s.mu.Unlock()
	return func() {
		defer s.end(c)
		c.run()
	}
}

// end closes the connection of a session, which is not counted any more.
func (s *Server) end(c *callerSession) {
	c.conn.Close()
	c.account.Close()
	c.visit.Leave()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, c)
}

// SessionCount returns the number of open sessions.
func (s *Server) SessionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// SetShedding starts or stops ending sessions that are idle outside a transaction, so that their callers reconnect through other VMs.
func (s *Server) SetShedding(shedding bool) {
	s.shedding.Store(shedding)
	if shedding {
		s.interrupt(false)
	}
}

// endsIdleSessions reports whether sessions end as soon as they are idle.
func (s *Server) endsIdleSessions() bool { return s.drain.Load() != nil || s.shedding.Load() }

// interrupt wakes the sessions outside a transaction. If inTransactions is set, it also wakes the others, whose transactions have to end.
func (s *Server) interrupt(inTransactions bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.sessions {
		if inTransactions || !c.inTransaction.Load() {
			c.conn.Interrupt()
		}
	}
}
