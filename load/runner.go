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
	auditTries = 40
	auditPause = 250 * time.Millisecond
)

type (
	// Team is a team that sends requests at a mean rate a second.
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
		// Entries returns the callers' addresses that the balancer offers now.
		Entries func() []netip.AddrPort
		Teams   []Team
		Groups  []model.GroupName
		// Route returns the route for a request.
		Route func(team model.TeamName, group model.GroupName, write bool) model.RouteName
		// WriteShare is the part of the requests that write.
		WriteShare float64
		// Roam is the probability that a session moves to another entry before a request.
		Roam float64
		// Skew is the probability that a session prefers the first quarter of the entries.
		Skew     float64
		Sessions int
		// Prefix keeps the sessions of several runs on one fleet apart.
		Prefix   string
		Deadline time.Duration
		Seed     uint64
		// Observe is told of every sample; it may be nil.
		Observe func(Sample)
	}
)

// Runner sends an open workload and audits the answers.
type Runner struct {
	config Config
	client *Client
	tally  *Tally
	ledger check.ViolationLog

	mu    sync.Mutex
	books []*session
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

// Ledger returns the violations that the sessions have seen.
func (r *Runner) Ledger() *check.ViolationLog { return &r.ledger }

// Run sends requests until the context ends and waits for the last answers.
func (r *Runner) Run(ctx context.Context) {
	var wait sync.WaitGroup
	for i, team := range r.config.Teams {
		wait.Go(func() { r.runTeam(ctx, team, uint64(i)) })
	}
	wait.Wait()
}

// runTeam sends the requests of one team with random gaps; each goes to a session that is free.
func (r *Runner) runTeam(ctx context.Context, team Team, stream uint64) {
	random := rand.New(rand.NewPCG(r.config.Seed, stream))
	free := make(chan *session, r.config.Sessions)
	for i := range r.config.Sessions {
		free <- r.newSession(team, i)
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
		case s := <-free:
			wait.Go(func() {
				s.step(context.WithoutCancel(ctx), rand.New(rand.NewPCG(seed, stream)), write)
				free <- s
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
		book:   newBook("lines/" + name),
	}
	r.mu.Lock()
	r.books = append(r.books, s)
	r.mu.Unlock()
	return s
}

// Audit reads every session's lines once more and checks that nothing was lost or doubled.
func (r *Runner) Audit(ctx context.Context) {
	var wait sync.WaitGroup
	limit := make(chan struct{}, 8)
	for _, s := range r.books {
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
	for try := range auditTries {
		entries := r.config.Entries()
		answer = r.client.Do(ctx, entries[try%len(entries)], s.team.Key, s.token, s.request(false))
		if answer.Refusal == nil {
			s.book.audit(&r.ledger, answer.Rows, check.NoLostWrite)
			return
		}
		if !retry.Sleep(ctx, auditPause) {
			break
		}
	}
	r.ledger.Assert(false, check.NoLostWrite, "%s could not be read back: %v", s.book.key, answer.Refusal)
}
