package bench

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/crocusshore/crocusshore/check"
	"github.com/crocusshore/crocusshore/load"
)

const (
	// failoverRate is in requests per second, of all teams together.
	failoverRate       = 240
	failoverWriteShare = 0.6
	// faultDuration is the time from the injection of a fault until it is healed.
	faultDuration = 4 * time.Second
	// roleTimeout bounds the time from healing a fault until all instances have their roles.
	roleTimeout = 8 * time.Second
	// faultFreeTime is the time without faults before each fault.
	faultFreeTime = time.Second
)

// failover measures how long no write is acknowledged when the primary crashes, is isolated together with its
// failure domain, is paused, or is switched by an operator. The baseline, naiveFailover, runs at the same time.
func failover(ctx context.Context, options Options) (Figures, []string, error) {
	fleet, err := StartFleet(ctx, FleetConfig{Profile: options.Profile})
	if err != nil {
		return nil, nil, err
	}
	defer fleet.Close()
	naive := startNaive(ctx, fleet, options.Seed)
	monitor := newAckMonitor()
	config := fleet.LoadConfig(options.Seed, failoverRate, failoverWriteShare)
	config.Observe = monitor.observe
	runner := load.New(config)
	runCtx, stop := context.WithCancel(ctx)
	finished := make(chan struct{})
	go func() { runner.Run(runCtx); close(finished) }()

	figures := Figures{}
	gaps := hdrhistogram.New(1, maxLatencyMicros, significantDigits)
	err = runFaults(ctx, fleet, monitor, figures, gaps)
	stop()
	<-finished
	if err != nil {
		return nil, nil, err
	}
	runner.Audit(ctx)
	violations := append(runner.Violations().List(), fleet.Violations()...)
	wrong, unknown := monitor.counts()
	figures["GapP50"] = (time.Duration(gaps.ValueAtQuantile(50)) * time.Microsecond).Seconds()
	figures["WrongAcks"] = float64(wrong + countInvariant(violations, check.NoReplacedAck))
	figures["LostAcked"] = float64(countInvariant(violations, check.NoLostWrite) + countInvariant(violations, check.ReadYourWrites))
	figures["UnknownOutcomes"] = float64(unknown)
	figures["Writes"] = float64(runner.Tally().Writes)
	figures["NaiveGap"] = naive.await().Seconds()
	return figures, violations, nil
}

// runFaults injects the faults one after another, each into the primary of the next group, and measures for how long that group
// acknowledges no write. A planned switch doesn't count in the figures GapP50 and GapMax.
func runFaults(ctx context.Context, fleet *Fleet, monitor *ackMonitor, figures Figures, gaps *hdrhistogram.Histogram) error {
	time.Sleep(faultFreeTime)
	for i, fault := range primaryFaults() {
		group := fleet.Profile.Groups[i%len(fleet.Profile.Groups)]
		started := time.Now()
		if err := fault.inject(ctx, fleet, group); err != nil {
			return err
		}
		time.Sleep(time.Until(started.Add(faultDuration)))
		gap := monitor.longestGap(group, started, time.Now())
		figures["Gap"+fault.name] = gap.Seconds()
		if fault.name != "Switch" {
			_ = gaps.RecordValue(gap.Microseconds())
			figures["GapMax"] = max(figures["GapMax"], gap.Seconds())
		}
		fault.heal(fleet, group)
		if err := awaitRoles(ctx, fleet, roleTimeout); err != nil {
			return err
		}
		time.Sleep(faultFreeTime)
	}
	return nil
}
