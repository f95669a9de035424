package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/check"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/retry"
)

const (
	maxAuditAttempts   = 40
	auditRetryInterval = 250 * time.Millisecond
)

type (
	// Team is a team and the mean rate of its requests per second.
	Team struct {
		Name model.TeamName
		Key  string
		Rate float64
	}
	// Sample is one request with its answer.
	Sample struct {
		SentAt  time.Time
		Latency time.Duration
		Team    model.TeamName
		Session string
		Entry   netip.AddrPort
		Group   model.GroupName
		Write   bool
		Answer  Answer
	}
	// Config describes a run.
	Config struct {
		Transport http.RoundTripper
		// Entries returns the caller addresses of the entries that the load balancer offers at present.
		Entries func() []netip.AddrPort
		Teams   []Team
		Groups  []model.GroupName
		// Route returns the route for a request.
		Route func(team model.TeamName, group model.GroupName, write bool) model.RouteName
		// WriteShare is the share of the requests that are writes, from 0 to 1.
		WriteShare float64
		// Roam is the probability that a session moves to another entry before a request.
		Roam float64
		// Skew is the probability with which a session that moves chooses only among the first quarter of the entries.
		Skew float64
		// Sessions is the number of sessions of each team. A session sends one request at a time, so Sessions also bounds the concurrent
		// requests of a team.
		Sessions int
		// Prefix starts the names of the sessions, and so keeps the lines of several runs on the same entries apart.
		Prefix   string
		Deadline time.Duration
		Seed     uint64
		// Observe is called with every sample, concurrently; it may be nil.
		Observe func(Sample)
	}
)

// Runner sends an open-loop workload, in which requests follow at random intervals that do not depend on the answers to earlier ones,
// and checks the answers.
type Runner struct {
	config     Config
	client     *Client
	tally      *Tally
	violations check.ViolationLog

	mu       sync.Mutex
	sessions []*session
}

// New returns a runner.
func New(config Config) *Runner {
	if config.Observe == nil {
		config.Observe = func(Sample) {}
	}
	return &Runner{config: config, client: NewClient(config.Transport), tally: NewTally()}
}

// Tally returns the counts so far.
func (r *Runner) Tally() *Tally { return r.tally }

// Violations returns the violations that the sessions and the audit have found.
func (r *Runner) Violations() *check.ViolationLog { return &r.violations }

// Run sends requests until the context ends and waits for the answers to those under way.
func (r *Runner) Run(ctx context.Context) {
	var wait sync.WaitGroup
	for i, team := range r.config.Teams {
		wait.Go(func() { r.runTeam(ctx, team, uint64(i)) })
	}
	wait.Wait()
}

// runTeam sends the requests of one team with exponentially distributed intervals, each from an idle session. While no session is
// idle, the next request waits.
func (r *Runner) runTeam(ctx context.Context, team Team, stream uint64) {
	random := rand.New(rand.NewPCG(r.config.Seed, stream))
	idle := make(chan *session, r.config.Sessions)
	for i := range r.config.Sessions {
		idle <- r.newSession(team, i)
	}
	var wait sync.WaitGroup
	next := time.Now()
	for ctx.Err() == nil {
		next = next.Add(time.Duration(random.ExpFloat64() / team.Rate * float64(time.Second)))
		if !retry.Sleep(ctx, time.Until(next)) {
			break
		}
		write, seed := random.Float64() < r.config.WriteShare, random.Uint64()
		select {
		case s := <-idle:
			wait.Go(func() {
				s.sendNext(context.WithoutCancel(ctx), rand.New(rand.NewPCG(seed, stream)), write)
				idle <- s
			})
		case <-ctx.Done():
		}
	}
	wait.Wait()
}

func (r *Runner) newSession(team Team, number int) *session {
	name := fmt.Sprintf("%s%s-%d", r.config.Prefix, team.Name, number)
	s := &session{
		runner: r,
		team:   team,
		name:   name,
		group:  r.config.Groups[number%len(r.config.Groups)],
		writes: newWriteLog("lines/" + name),
	}
	r.mu.Lock()
	r.sessions = append(r.sessions, s)
	r.mu.Unlock()
	return s
}

// Audit reads the lines of every session once more, after Run, and checks that none was lost or duplicated.
func (r *Runner) Audit(ctx context.Context) {
	var wait sync.WaitGroup
	limit := make(chan struct{}, 8)
	for _, s := range r.sessions {
		limit <- struct{}{}
		wait.Go(func() {
			defer func() { <-limit }()
			r.auditSession(ctx, s)
		})
	}
	wait.Wait()
}

func (r *Runner) auditSession(ctx context.Context, s *session) {
	var answer Answer
	for attempt := range maxAuditAttempts {
		entries := r.config.Entries()
		answer = r.client.Do(ctx, entries[attempt%len(entries)], s.team.Key, s.token, s.newRequest(false))
		if answer.Refusal == nil {
			s.writes.audit(&r.violations, answer.Rows, check.NoLostWrite)
			return
		}
		if !retry.Sleep(ctx, auditRetryInterval) {
			break
		}
	}
	r.violations.Assert(false, check.NoLostWrite, "%s could not be read back: %v", s.writes.key, answer.Refusal)
}
