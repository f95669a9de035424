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
	propagationRounds   = 6
	operatorsPerRound   = 2
	revocationsPerRound = 4
	// dropAnswerEvery is the n with which the platform drops the answer to every n-th request.
	dropAnswerEvery = 7
	keyUseInterval  = 10 * time.Millisecond
	// revocationLimit bounds the time from a request for a revocation to the last use of the key; the requirement is "within seconds".
	revocationLimit = 3 * time.Second
	// queueLimitBase is the first value of QueueLimit, the setting that the operators change.
	queueLimitBase = 1000
)

// propagation measures how long a change of the settings and the revocation of a key take to be in effect, with
// concurrent operators, lost answers of the platform, a VM that is paused and one that was just started.
func propagation(ctx context.Context, options Options) (Figures, []string, error) {
	fleet, err := StartFleet(ctx, FleetConfig{Profile: options.Profile})
	if err != nil {
		return nil, nil, err
	}
	defer fleet.Close()
	p := &propagationRun{
		fleet:           fleet,
		random:          rand.New(rand.NewPCG(options.Seed, 9)),
		settingTimes:    hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		revocationTimes: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
	}
	runner := load.New(fleet.LoadConfig(options.Seed, 100, 0.1))
	runCtx, stop := context.WithCancel(ctx)
	finished := make(chan struct{})
	go func() { runner.Run(runCtx); close(finished) }()
	fleet.Platform.Faults.Set(stand.Fault{DropEvery: dropAnswerEvery})
	for round := range propagationRounds {
		p.disrupt(ctx, round)
		p.round(ctx, round)
	}
	fleet.Platform.Faults.Set(stand.Fault{})
	stop()
	<-finished
	at := func(h *hdrhistogram.Histogram) float64 {
		return (time.Duration(h.ValueAtQuantile(99)) * time.Microsecond).Seconds()
	}
	violations := append(p.violations.List(), runner.Violations().List()...)
	violations = append(violations, fleet.Violations()...)
	return Figures{
		"SettingP99":      at(p.settingTimes),
		"KeyWithdrawnP99": at(p.revocationTimes),
		"Reverts":         float64(countInvariant(violations, check.NoRevert)),
		"Changes":         float64(p.changes),
		"Raced":           float64(p.raced),
		"Pending":         float64(p.pending),
	}, violations, nil
}

type propagationRun struct {
	fleet           *Fleet
	random          *rand.Rand
	violations      check.ViolationLog
	settingTimes    *hdrhistogram.Histogram
	revocationTimes *hdrhistogram.Histogram

	mu      sync.Mutex
	changes int
	raced   int
	pending int
	paused  model.VMID
}

// disrupt starts a new VM in one round and pauses one in another.
func (p *propagationRun) disrupt(ctx context.Context, round int) {
	switch round {
	case 2:
		if _, err := p.fleet.AddEntry(ctx); err != nil {
			p.violations.Assert(false, check.OwnAnswer, "a fresh entry did not start: %v", err)
		}
	case 4:
		p.paused = p.unpausedEntry().Self().ID
		p.fleet.Network.Pause(p.paused, true)
		time.AfterFunc(2*time.Second, func() { p.fleet.Network.Pause(p.paused, false) })
	}
}

// unpausedEntry returns a random entry that is not paused.
func (p *propagationRun) unpausedEntry() *entry.Server {
	entries := p.fleet.Entries()
	for {
		server := entries[p.random.IntN(len(entries))]
		if server.Self().ID != p.paused {
			return server
		}
	}
}

// round lets several operators change the settings at the same time, while keys are revoked.
func (p *propagationRun) round(ctx context.Context, round int) {
	var wait sync.WaitGroup
	for operator := range operatorsPerRound {
		server := p.unpausedEntry()
		wait.Go(func() { p.changeSettings(ctx, server, queueLimitBase+round*operatorsPerRound+operator) })
	}
	for range revocationsPerRound {
		server := p.unpausedEntry()
		wait.Go(func() { p.revokeKey(ctx, server) })
	}
	wait.Wait()
}

// changeSettings applies a change of the settings. Once it is reported to be in effect, every entry that isn't paused must have it.
func (p *propagationRun) changeSettings(ctx context.Context, server *entry.Server, queueLimit int) {
	operator, err := p.fleet.Operator(server)
	if err != nil {
		return
	}
	started := time.Now()
	text := withFleetSetting(p.fleet.settings, fmt.Sprintf(`"QueueLimit": %d`, queueLimit))
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
	_ = p.settingTimes.RecordValue(time.Since(started).Microseconds())
	for _, other := range p.fleet.Entries() {
		version := int64(other.View().Version)
		if other.Self().ID == p.paused {
			continue
		}
		p.violations.Assert(version >= changed.Version, check.NoRevert, "%s holds version %d after %d was said to be in force", other.Self().ID, version, changed.Version)
	}
}

// revokeKey revokes a key that a caller keeps using at every entry, and measures the time until its last use.
func (p *propagationRun) revokeKey(ctx context.Context, server *entry.Server) {
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
	for err != nil && time.Since(started) < revocationLimit {
		// The answer was lost: a repeat either revokes the key or finds that it no longer exists.
		changed, err = operator.WithdrawKey(ctx, admin.WithdrawKeyParams{ID: issued.ID})
		var problem *admin.ProblemStatusCode
		if errors.As(err, &problem) && strings.Contains(problem.Response.Detail, "does not exist") {
			break
		}
	}
	inEffect := err == nil && changed.InForce
	answeredAt := time.Now()
	time.Sleep(time.Until(started.Add(revocationLimit + revocationLimit/2)))
	stop()
	last := <-lastUse
	took := max(0, last.Sub(started))
	_ = p.revocationTimes.RecordValue(took.Microseconds())
	p.violations.Assert(took <= revocationLimit, check.KeyRevoked, "a withdrawn key was used %v after its withdrawal", took)
	p.violations.Assert(!inEffect || !last.After(answeredAt), check.KeyRevoked, "a withdrawn key was used %v after the withdrawal was said to be in force", last.Sub(answeredAt))
}

// useKey uses a key at every entry in turn until the context ends. It returns the time at which the last admitted request was sent.
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
		time.Sleep(keyUseInterval)
	}
	wait.Wait()
	return last
}
