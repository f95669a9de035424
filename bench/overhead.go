package bench

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/load"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/pool"
)

const (
	overheadTime    = 8 * time.Second
	overheadPause   = 4 * time.Millisecond
	overheadClients = 8
	overheadGroups  = 1
	warmUp          = 200
	latencyMost     = int64(time.Minute / time.Microsecond)
	latencyDigits   = 3
)

// overhead measures what an entry adds to a read beside the network hops, which take no time here.
//
// The same read goes to the primary directly and through entries, in turn, at a light load; then
// both are run as fast as they go to compare the processor time of a statement.
func overhead(ctx context.Context, options Options) (Figures, []string, error) {
	profile := options.Profile
	profile.OneWay = 0
	profile.Groups = profile.Groups[:overheadGroups]
	profile.ServiceTime = 0
	for i := range profile.Teams {
		profile.Teams[i].Rate, profile.Teams[i].Burst = 1e6, 1e6
	}
	fleet, err := NewFleet(ctx, FleetConfig{Profile: profile})
	if err != nil {
		return nil, nil, err
	}
	defer fleet.Close()
	ways, err := newWays(ctx, fleet)
	if err != nil {
		return nil, nil, err
	}
	direct, through := ways.alternate(ctx, options.timeOr(overheadTime))
	directCPU := ways.saturate(ctx, ways.direct, options.timeOr(overheadTime)/2)
	throughCPU := ways.saturate(ctx, ways.through, options.timeOr(overheadTime)/2)
	at := func(h *hdrhistogram.Histogram, q float64) float64 {
		return (time.Duration(h.ValueAtQuantile(q)) * time.Microsecond).Seconds()
	}
	return Figures{
		"DirectP50":         at(direct, 50),
		"DirectP99":         at(direct, 99),
		"ThroughP50":        at(through, 50),
		"ThroughP99":        at(through, 99),
		"AddedP50":          at(through, 50) - at(direct, 50),
		"AddedP99":          at(through, 99) - at(direct, 99),
		"PerCoreStatements": 1 / max(1e-9, throughCPU-directCPU),
		"Failures":          float64(ways.failures.Load()),
	}, fleet.Violations(), nil
}

// ways are the two ways to the same primary.
type ways struct {
	fleet    *Fleet
	client   *load.Client
	term     model.Term
	request  load.Request
	key      string
	next     atomic.Int64
	failures atomic.Int64
	conns    chan model.UpstreamConn
}

func newWays(ctx context.Context, fleet *Fleet) (*ways, error) {
	group := fleet.Profile.Groups[0]
	place := fleet.Entries()[0].View().Placements[group]
	instance, err := pool.NewInstanceClient(fleet.Groups[group].Instance(place.Primary).Address, fleet.transport)
	if err != nil {
		return nil, err
	}
	w := &ways{
		fleet:  fleet,
		client: load.NewClient(fleet.transport),
		term:   place.Term,
		key:    fleet.Keys[fleet.Profile.Teams[0].Name],
		conns:  make(chan model.UpstreamConn, overheadClients),
		request: load.Request{
			Route:     RouteOf(KindFresh, group),
			Statement: model.Statement{Text: "get", Arguments: []string{"order/1"}},
		},
	}
	for range overheadClients {
		conn, err := instance.Open(ctx)
		if err != nil {
			return nil, err
		}
		w.conns <- conn
	}
	for range warmUp {
		w.through(ctx)
		w.direct(ctx)
	}
	if w.failures.Load() > 0 {
		return nil, errors.Newf("%d requests of the warm-up failed", w.failures.Load())
	}
	return w, nil
}

func (w *ways) direct(ctx context.Context) {
	conn := <-w.conns
	defer func() { w.conns <- conn }()
	run := model.Run{Term: w.term, Mode: model.ModeSingle, Statements: []model.Statement{w.request.Statement}}
	if _, err := conn.Run(ctx, run); err != nil {
		w.failures.Add(1)
	}
}

func (w *ways) through(ctx context.Context) {
	entries := w.fleet.Entries()
	entry := entries[int(w.next.Add(1))%len(entries)]
	request := w.request
	request.ID = model.RequestID(fmt.Sprintf("overhead-%d", w.next.Load()))
	if answer := w.client.Do(ctx, entry.CallerAddress, w.key, "", request); answer.Refusal != nil {
		w.failures.Add(1)
	}
}

// alternate times both ways in turn at a light load.
func (w *ways) alternate(ctx context.Context, d time.Duration) (direct, through *hdrhistogram.Histogram) {
	direct = hdrhistogram.New(1, latencyMost, latencyDigits)
	through = hdrhistogram.New(1, latencyMost, latencyDigits)
	timed := func(h *hdrhistogram.Histogram, run func(context.Context)) {
		started := time.Now()
		run(ctx)
		_ = h.RecordValue(time.Since(started).Microseconds())
	}
	for end := time.Now().Add(d); time.Now().Before(end); {
		timed(direct, w.direct)
		timed(through, w.through)
		time.Sleep(overheadPause)
	}
	return direct, through
}

// saturate runs one way as fast as it goes and returns the processor seconds of one statement, of the whole process.
func (w *ways) saturate(ctx context.Context, run func(context.Context), d time.Duration) float64 {
	var count atomic.Int64
	var wait sync.WaitGroup
	before := processorTime()
	end := time.Now().Add(d)
	for range overheadClients {
		wait.Go(func() {
			for time.Now().Before(end) {
				run(ctx)
				count.Add(1)
			}
		})
	}
	wait.Wait()
	return (processorTime() - before).Seconds() / float64(max(1, count.Load()))
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
