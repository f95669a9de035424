package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/admin"
	"github.com/crocusshore/crocusshore/check"
	"github.com/crocusshore/crocusshore/entry"
	"github.com/crocusshore/crocusshore/load"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
)

const (
	propagationRounds = 6
	operators         = 2
	withdrawals       = 4
	lostEvery         = 7
	keyPoll           = 10 * time.Millisecond
	// seconds is the bound on the brief's "within seconds".
	seconds = 3 * time.Second
	// markerBase is the first value of the setting that the operators change.
	markerBase = 1000
)

// propagation measures how long a change of the settings and the withdrawal of a key take to be in force,
// with racing operators, lost answers of the platform, a VM that is paused and one that just started.
func propagation(ctx context.Context, options Options) (Figures, []string, error) {
	fleet, err := NewFleet(ctx, FleetConfig{Profile: options.Profile})
	if err != nil {
		return nil, nil, err
	}
	defer fleet.Close()
	p := &propagationRun{
		fleet:    fleet,
		random:   rand.New(rand.NewPCG(options.Seed, 9)),
		settings: hdrhistogram.New(1, latencyMost, latencyDigits),
		keys:     hdrhistogram.New(1, latencyMost, latencyDigits),
	}
	runner := load.New(fleet.LoadConfig(options.Seed, 100, 0.1))
	runCtx, stop := context.WithCancel(ctx)
	finished := make(chan struct{})
	go func() { runner.Run(runCtx); close(finished) }()
	fleet.Platform.Faults.Set(stand.Fault{DropEvery: lostEvery})
	for round := range propagationRounds {
		p.disturb(ctx, round)
		p.round(ctx, round)
	}
	fleet.Platform.Faults.Set(stand.Fault{})
	stop()
	<-finished
	at := func(h *hdrhistogram.Histogram) float64 {
		return (time.Duration(h.ValueAtQuantile(99)) * time.Microsecond).Seconds()
	}
	violations := append(p.ledger.List(), runner.Ledger().List()...)
	violations = append(violations, fleet.Violations()...)
	return Figures{
		"SettingP99":      at(p.settings),
		"KeyWithdrawnP99": at(p.keys),
		"Reverts":         float64(countOf(violations, check.NoRevert)),
		"Changes":         float64(p.changes),
		"Raced":           float64(p.raced),
		"Pending":         float64(p.pending),
	}, violations, nil
}

type propagationRun struct {
	fleet    *Fleet
	random   *rand.Rand
	ledger   check.ViolationLog
	settings *hdrhistogram.Histogram
	keys     *hdrhistogram.Histogram

	mu      sync.Mutex
	changes int
	raced   int
	pending int
	paused  model.VMID
}

// disturb starts a fresh VM in one round and pauses one in another.
func (p *propagationRun) disturb(ctx context.Context, round int) {
	switch round {
	case 2:
		if _, err := p.fleet.AddEntry(ctx); err != nil {
			p.ledger.Assert(false, check.OwnAnswer, "a fresh entry did not start: %v", err)
		}
	case 4:
		p.paused = p.any().Self().ID
		p.fleet.Network.Pause(p.paused, true)
		time.AfterFunc(2*time.Second, func() { p.fleet.Network.Pause(p.paused, false) })
	}
}

// any returns an entry that is not paused.
func (p *propagationRun) any() *entry.Server {
	entries := p.fleet.Entries()
	for {
		server := entries[p.random.IntN(len(entries))]
		if server.Self().ID != p.paused {
			return server
		}
	}
}

// round lets operators change the settings against one another while keys are withdrawn.
func (p *propagationRun) round(ctx context.Context, round int) {
	var wait sync.WaitGroup
	for operator := range operators {
		server := p.any()
		wait.Go(func() { p.change(ctx, server, markerBase+round*operators+operator) })
	}
	for range withdrawals {
		server := p.any()
		wait.Go(func() { p.withdraw(ctx, server) })
	}
	wait.Wait()
}

// change applies a change of the settings; once it is said to be in force, every entry that may act has to have it.
func (p *propagationRun) change(ctx context.Context, server *entry.Server, marker int) {
	operator, err := p.fleet.Operator(server)
	if err != nil {
		return
	}
	started := time.Now()
	text := withFleetSetting(p.fleet.settings, fmt.Sprintf(`"QueueLimit": %d`, marker))
	changed, err := operator.ApplySettings(ctx, &admin.SettingsChange{Text: text})
	p.mu.Lock()
	defer p.mu.Unlock()
	var problem *admin.ProblemStatusCode
	switch {
	case errors.As(err, &problem):
		p.raced++
		return
	case err != nil || !changed.InForce:
		p.pending++
		return
	}
	p.changes++
	_ = p.settings.RecordValue(time.Since(started).Microseconds())
	for _, other := range p.fleet.Entries() {
		held := int64(other.View().Version)
		if other.Self().ID == p.paused {
			continue
		}
		p.ledger.Assert(held >= changed.Version, check.NoRevert, "%s holds version %d after %d was said to be in force", other.Self().ID, held, changed.Version)
	}
}

// withdraw withdraws a key that a caller goes on using at every entry, and measures until its last use.
func (p *propagationRun) withdraw(ctx context.Context, server *entry.Server) {
	operator, err := p.fleet.Operator(server)
	if err != nil {
		return
	}
	issued, err := operator.IssueKey(ctx, &admin.KeyRequest{Team: string(p.fleet.Profile.Teams[0].Name)})
	if err != nil || !issued.InForce {
		return
	}
	lastUse := make(chan time.Time, 1)
	useCtx, stop := context.WithCancel(ctx)
	go func() { lastUse <- p.useKey(useCtx, issued.Key) }()
	started := time.Now()
	changed, err := operator.WithdrawKey(ctx, admin.WithdrawKeyParams{ID: issued.ID})
	for err != nil && time.Since(started) < seconds {
		// The answer was lost: a repeat finds the key gone, or withdraws it.
		changed, err = operator.WithdrawKey(ctx, admin.WithdrawKeyParams{ID: issued.ID})
		var problem *admin.ProblemStatusCode
		if errors.As(err, &problem) && strings.Contains(problem.Response.Detail, "does not exist") {
			break
		}
	}
	inForce := err == nil && changed.InForce
	ended := time.Now()
	time.Sleep(time.Until(started.Add(seconds + seconds/2)))
	stop()
	last := <-lastUse
	took := max(0, last.Sub(started))
	_ = p.keys.RecordValue(took.Microseconds())
	p.ledger.Assert(took <= seconds, check.KeyWithdrawn, "a withdrawn key was used %v after its withdrawal", took)
	p.ledger.Assert(!inForce || !last.After(ended), check.KeyWithdrawn, "a withdrawn key was used %v after the withdrawal was said to be in force", last.Sub(ended))
}

// useKey uses a key at every entry in turn and returns when it was last admitted, by the time the request was sent.
func (p *propagationRun) useKey(ctx context.Context, key string) time.Time {
	client := load.NewClient(p.fleet.transport)
	request := load.Request{
		Route:     RouteOf(KindOrders, p.fleet.Profile.Groups[0]),
		Statement: model.Statement{Text: "count", Arguments: []string{"x"}},
		Deadline:  time.Second,
	}
	var mu sync.Mutex
	var last time.Time
	var wait sync.WaitGroup
	for turn := 0; ctx.Err() == nil; turn++ {
		entries := p.fleet.Entries()
		address := entries[turn%len(entries)].CallerAddress
		sentAt := time.Now()
		wait.Go(func() {
			answer := client.Do(context.WithoutCancel(ctx), address, key, "", request)
			mu.Lock()
			defer mu.Unlock()
			if answer.Refusal == nil && sentAt.After(last) {
				last = sentAt
			}
		})
		time.Sleep(keyPoll)
	}
	wait.Wait()
	return last
}
