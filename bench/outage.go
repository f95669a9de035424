package bench

import (
	"context"
	"net/netip"
	"time"

	"github.com/crocusshore/crocusshore/check"
	"github.com/crocusshore/crocusshore/load"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
)

// Rates are in requests per second, of all teams together.
const (
	outageRate       = 200
	outageWriteShare = 0.5
	outageTime       = 30 * time.Second
	isolationTime    = 4 * time.Second
	openRouteRate    = 60
)

// outage measures the share of the writes that are done while the platform does not answer, and the share of the
// requests that a failure domain serves while it is isolated.
//
// The rule for an isolated domain: reads on open routes that allow some staleness are served from the domain's own
// replica until its state is older than the route allows; everything else is refused as not run.
func outage(ctx context.Context, options Options) (Figures, []string, error) {
	fleet, err := StartFleet(ctx, FleetConfig{Profile: options.Profile})
	if err != nil {
		return nil, nil, err
	}
	defer fleet.Close()
	monitor := newAckMonitor()
	config := fleet.LoadConfig(options.Seed, outageRate, outageWriteShare)
	config.Observe = monitor.observe
	runner := load.New(config)

	faults := []stand.Fault{{Paused: true}, {Refuse: true}}
	fleet.Platform.Faults.Set(faults[options.Seed%uint64(len(faults))])
	runCtx, cancel := context.WithTimeout(ctx, options.timeOr(outageTime))
	runner.Run(runCtx)
	cancel()
	fleet.Platform.Faults.Set(stand.Fault{})
	writesDone := runner.Tally().DoneWriteShare()
	runner.Audit(ctx)

	isolatedServed, isolatedViolations := serveIsolated(ctx, fleet, options)
	violations := append(runner.Violations().List(), isolatedViolations...)
	violations = append(violations, fleet.Violations()...)
	wrong, unknown := monitor.counts()
	return Figures{
		"WritesPlacedShare": writesDone,
		"Writes":            float64(runner.Tally().Writes),
		"ServedShare":       isolatedServed,
		"WrongAcks":         float64(wrong + countInvariant(violations, check.NoReplacedAck)),
		"UnknownOutcomes":   float64(unknown),
	}, violations, nil
}

// serveIsolated isolates the last failure domain. It sends reads on open routes to it, then a write with a caller's key, which must
// not run. It returns the share of the reads that were served, and the violations.
func serveIsolated(ctx context.Context, fleet *Fleet, options Options) (share float64, violations []string) {
	domain := fleet.Profile.Domains[len(fleet.Profile.Domains)-1]
	entriesInside := func() []netip.AddrPort {
		var addresses []netip.AddrPort
		for _, server := range fleet.Entries() {
			if server.Self().Domain == domain {
				addresses = append(addresses, server.CallerAddress)
			}
		}
		return addresses
	}
	fleet.Network.Isolate(domain, allDomains(fleet), true)
	defer healIsolation(fleet, "")
	config := fleet.LoadConfig(options.Seed, openRouteRate, 0)
	config.Entries = entriesInside
	config.Teams = []load.Team{{Name: "", Rate: openRouteRate}}
	config.Deadline = time.Second
	config.Route = func(_ model.TeamName, group model.GroupName, _ bool) model.RouteName {
		return model.RouteName("Open" + string(group))
	}
	runner := load.New(config)
	runCtx, cancel := context.WithTimeout(ctx, isolationTime)
	defer cancel()
	runner.Run(runCtx)
	assertWriteRefused(ctx, fleet, runner, entriesInside()[0])
	return runner.Tally().DoneShare(), runner.Violations().List()
}

// assertWriteRefused asserts that a write with a caller's key in the isolated domain is refused as not run.
func assertWriteRefused(ctx context.Context, fleet *Fleet, runner *load.Runner, entry netip.AddrPort) {
	group := fleet.Profile.Groups[0]
	request := load.Request{
		ID:        "cut-off",
		Route:     RouteOf(KindOrders, group),
		Statement: model.Statement{Write: true, Text: "append", Arguments: []string{"lines/cut-off", "cut-off"}},
		Deadline:  time.Second,
	}
	answer := load.NewClient(fleet.transport).Do(ctx, entry, fleet.Keys[fleet.Profile.Teams[0].Name], "", request)
	refused := answer.Refusal != nil && answer.Refusal.Outcome == model.NotRun
	runner.Violations().Assert(refused, check.TrueRefusal, "a keyed write in a cut-off failure domain was answered with %v", answer)
}
