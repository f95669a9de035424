package serve

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/conns"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/place"
	"github.com/crocusshore/crocusshore/policy"
	"github.com/crocusshore/crocusshore/sample"
	"github.com/crocusshore/crocusshore/share"
	"github.com/crocusshore/crocusshore/world"
)

type (
	// Limiter decides whether an operation of a team is within its rate.
	Limiter interface {
		Admit(now time.Time, team policy.Team) share.Verdict
	}

	// Source gives connections to instances.
	Source interface {
		// Get returns a connection; errors leave nothing sent.
		Get(now time.Time, request conns.Request) (model.Connection, error)
		// Put returns a connection; a broken one is closed.
		Put(now time.Time, connection model.Connection)
	}

	// Config names what a server works with.
	Config struct {
		Domain model.Domain
		World  *world.World
		// Pool holds the connections of this VM, and Source gives those of others too.
		Pool    *conns.Pool
		Source  Source
		Samples *sample.Samples
		Track   *place.Track
		Limiter Limiter
		Phrases model.Phrases
		Log     *log.Logger
		Metrics tally.Scope
		// Reader tells whether this VM takes samples for its failure domain.
		Reader func() bool
		// RetryDetail renders why a caller is refused and when to come back.
		RetryDetail func(reason string, after time.Duration) string
	}

	// Server serves callers; it is safe for concurrent use.
	Server struct {
		config   Config
		inflight *inflight
		acked    *acked
		demand   *demand
		// refreshing are the questions for positions and witnesses.
		refreshing *rounds
		draining   atomic.Bool
		// moving tells that callers are served better by other VMs, so that idle sessions end.
		moving atomic.Bool
		// confirming is held while a confirmation is recorded, and shared by answers that are about to be acknowledged.
		confirming sync.RWMutex

		mu      sync.Mutex
		callers map[*caller]struct{}
	}
)

// New returns a server without callers.
func New(config Config) *Server {
	return &Server{config: config, inflight: newInflight(), acked: newAcked(), demand: newDemand(), refreshing: newRounds(), callers: map[*caller]struct{}{}}
}

// Serve serves a caller until the session ends.
func (s *Server) Serve(conn model.CallerConn) {
	c := newCaller(s, conn)
	s.mu.Lock()
	s.callers[c] = struct{}{}
	s.mu.Unlock()
	defer func() {
		conn.Close()
		s.mu.Lock()
		delete(s.callers, c)
		s.mu.Unlock()
	}()
	c.run()
}

// Callers returns how many sessions are open.
func (s *Server) Callers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.callers)
}

// Drain ends idle sessions at once, and the others after their operation; transactions get until the deadline.
func (s *Server) Drain(ctx context.Context, transactions time.Time) {
	s.draining.Store(true)
	s.interrupt(false)
	timer := time.NewTimer(transactions.Sub(clock.Now()))
	defer timer.Stop()
	select {
	case <-timer.C:
		s.interrupt(true)
	case <-ctx.Done():
	}
}

// Move ends sessions outside a transaction once they are idle, so that their callers come back through other VMs, or stops doing so.
func (s *Server) Move(away bool) {
	s.moving.Store(away)
	if away {
		s.interrupt(false)
	}
}

// ending tells whether sessions end as soon as they are idle.
func (s *Server) ending() bool { return s.draining.Load() || s.moving.Load() }

func (s *Server) interrupt(transactions bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.callers {
		if transactions {
			c.expired.Store(true)
		}
		if transactions || !c.inTransaction.Load() {
			c.conn.Interrupt()
		}
	}
}
