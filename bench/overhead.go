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
	overheadTime      = 8 * time.Second
	overheadInterval  = 4 * time.Millisecond
	overheadClients   = 8
	overheadGroups    = 1
	warmUpRequests    = 200
	maxLatencyMicros  = int64(time.Minute / time.Microsecond)
	significantDigits = 3
)

// overhead measures what an entry adds to a read, in latency and CPU time. The simulated network adds no latency here.
//
// The same read goes to the primary directly and through entries, in turn, at a light load; then each path
// runs as fast as it can, to compare the CPU time of a statement.
func overhead(ctx context.Context, options Options) (Figures, []string, error) {
	profile := options.Profile
	profile.OneWayDelay = 0
	profile.Groups = profile.Groups[:overheadGroups]
	profile.ServiceTime = 0
	for i := range profile.Teams {
		profile.Teams[i].Rate, profile.Teams[i].Burst = 1e6, 1e6
	}
	fleet, err := StartFleet(ctx, FleetConfig{Profile: profile})
	if err != nil {
		return nil, nil, err
	}
	defer fleet.Close()
	comparison, err := newComparison(ctx, fleet)
	if err != nil {
		return nil, nil, err
	}
	direct, viaEntry := comparison.alternate(ctx, options.timeOr(overheadTime))
	directCPU := comparison.saturate(ctx, comparison.direct, options.timeOr(overheadTime)/2)
	viaEntryCPU := comparison.saturate(ctx, comparison.viaEntry, options.timeOr(overheadTime)/2)
	at := func(h *hdrhistogram.Histogram, q float64) float64 {
		return (time.Duration(h.ValueAtQuantile(q)) * time.Microsecond).Seconds()
	}
	return Figures{
		"DirectP50":         at(direct, 50),
		"DirectP99":         at(direct, 99),
		"ThroughP50":        at(viaEntry, 50),
		"ThroughP99":        at(viaEntry, 99),
		"AddedP50":          at(viaEntry, 50) - at(direct, 50),
		"AddedP99":          at(viaEntry, 99) - at(direct, 99),
		"PerCoreStatements": 1 / max(1e-9, viaEntryCPU-directCPU),
		"Failures":          float64(comparison.failures.Load()),
	}, fleet.Violations(), nil
}

// comparison sends the same read to one primary over two paths: directly and through the entries in turn.
type comparison struct {
	fleet        *Fleet
	client       *load.Client
	term         model.Term
	request      load.Request
	key          string
	requestCount atomic.Int64
	failures     atomic.Int64
	conns        chan model.UpstreamConn
}

func newComparison(ctx context.Context, fleet *Fleet) (*comparison, error) {
	group := fleet.Profile.Groups[0]
	placement := fleet.Entries()[0].View().Placements[group]
	instance, err := pool.NewInstanceClient(fleet.Groups[group].Instance(placement.Primary).Address, fleet.transport)
	if err != nil {
		return nil, err
	}
	c := &comparison{
		fleet:  fleet,
		client: load.NewClient(fleet.transport),
		term:   placement.Term,
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
		c.conns <- conn
	}
	for range warmUpRequests {
		c.viaEntry(ctx)
		c.direct(ctx)
	}
	if c.failures.Load() > 0 {
		return nil, errors.Newf("%d warm-up requests failed", c.failures.Load())
	}
	return c, nil
}

func (c *comparison) direct(ctx context.Context) {
	conn := <-c.conns
	defer func() { c.conns <- conn }()
	run := model.Run{Term: c.term, Mode: model.ModeSingle, Statements: []model.Statement{c.request.Statement}}
	if _, err := conn.Run(ctx, run); err != nil {
		c.failures.Add(1)
	}
}

func (c *comparison) viaEntry(ctx context.Context) {
	entries := c.fleet.Entries()
	entry := entries[int(c.requestCount.Add(1))%len(entries)]
	request := c.request
	request.ID = model.RequestID(fmt.Sprintf("overhead-%d", c.requestCount.Load()))
	if answer := c.client.Do(ctx, entry.CallerAddress, c.key, "", request); answer.Refusal != nil {
		c.failures.Add(1)
	}
}

// alternate measures the latencies of both paths in turn at a light load.
func (c *comparison) alternate(ctx context.Context, d time.Duration) (direct, viaEntry *hdrhistogram.Histogram) {
	direct = hdrhistogram.New(1, maxLatencyMicros, significantDigits)
	viaEntry = hdrhistogram.New(1, maxLatencyMicros, significantDigits)
	timed := func(h *hdrhistogram.Histogram, run func(context.Context)) {
		started := time.Now()
		run(ctx)
		_ = h.RecordValue(time.Since(started).Microseconds())
	}
	for end := time.Now().Add(d); time.Now().Before(end); {
		timed(direct, c.direct)
		timed(viaEntry, c.viaEntry)
		time.Sleep(overheadInterval)
	}
	return direct, viaEntry
}

// saturate runs one path as fast as it can and returns the CPU time of the process per statement, in seconds.
func (c *comparison) saturate(ctx context.Context, run func(context.Context), d time.Duration) float64 {
	var count atomic.Int64
	var wait sync.WaitGroup
	before := cpuTime()
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
	return (cpuTime() - before).Seconds() / float64(max(1, count.Load()))
}

// cpuTime returns the CPU time that this process has used; 0 if it can't be read.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
