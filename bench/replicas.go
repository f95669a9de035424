package bench

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/check"
	"github.com/crocusshore/crocusshore/load"
)

const (
	replicasRate       = 600
	replicasTime       = 15 * time.Second
	replicasWriteShare = 0.1
	// stickyTime is how long the baseline sends the reads of a session to the primary after a write.
	stickyTime = time.Second
)

// replicas measures the share of the reads that replicas serve while sessions move between entries.
//
// The baseline, computed from the same requests, sends a session's reads to the primary for a fixed time after its last write.
func replicas(ctx context.Context, options Options) (Figures, []string, error) {
	fleet, err := StartFleet(ctx, FleetConfig{Profile: options.Profile})
	if err != nil {
		return nil, nil, err
	}
	defer fleet.Close()
	config := fleet.LoadConfig(options.Seed, replicasRate, replicasWriteShare)
	naive := newStickyBaseline(stickyTime)
	config.Observe = naive.observe
	runner := load.New(config)
	runCtx, cancel := context.WithTimeout(ctx, options.timeOr(replicasTime))
	defer cancel()
	runner.Run(runCtx)
	runner.Audit(ctx)
	primaryAlone, err := runPrimaryAlone(ctx, fleet, options)
	if err != nil {
		return nil, nil, err
	}
	violations := append(runner.Violations().List(), primaryAlone.Violations().List()...)
	violations = append(violations, fleet.Violations()...)
	return Figures{
		"WriteP50Primary": primaryAlone.Tally().Quantile("write", 50).Seconds(),
		"ReplicaShare":    runner.Tally().ReplicaShare(),
		"NaiveShare":      naive.share(),
		"StaleReads":      float64(countInvariant(violations, check.ReadYourWrites)),
		"ReadP50":         runner.Tally().Quantile("read", 50).Seconds(),
		"ReadP99":         runner.Tally().Quantile("read", 99).Seconds(),
		"WriteP50":        runner.Tally().Quantile("write", 50).Seconds(),
		"Reads":           float64(runner.Tally().Reads),
	}, violations, nil
}

// runPrimaryAlone runs the same load for a third of the time, with writes that are acknowledged once the primary alone has them.
func runPrimaryAlone(ctx context.Context, fleet *Fleet, options Options) (*load.Runner, error) {
	if err := fleet.ApplySettings(ctx, withFleetSetting(fleet.settings, `"Acknowledge": "Primary"`)); err != nil {
		return nil, err
	}
	config := fleet.LoadConfig(options.Seed+1, replicasRate, replicasWriteShare)
	config.Prefix = "alone-"
	return runFor(ctx, config, options.timeOr(replicasTime)/3), nil
}

// countInvariant returns the number of the violations of an invariant.
func countInvariant(violations []string, invariant check.Invariant) int {
	count := 0
	for _, violation := range violations {
		if strings.HasPrefix(violation, string(invariant)) {
			count++
		}
	}
	return count
}

// stickyBaseline counts the reads that replicas would serve under the rule of the baseline; it is safe for concurrent use.
type stickyBaseline struct {
	stickyFor time.Duration

	mu           sync.Mutex
	lastWriteAt  map[string]time.Time
	reads        int
	replicaReads int
}

func newStickyBaseline(d time.Duration) *stickyBaseline {
	return &stickyBaseline{stickyFor: d, lastWriteAt: map[string]time.Time{}}
}

func (b *stickyBaseline) observe(sample load.Sample) {
	b.mu.Lock()
	defer b.mu.Unlock()
	session := sample.Session
	if sample.Write {
		if sample.Answer.Refusal == nil {
			b.lastWriteAt[session] = sample.SentAt
		}
		return
	}
	if sample.Answer.Refusal != nil {
		return
	}
	b.reads++
	if sample.SentAt.Sub(b.lastWriteAt[session]) > b.stickyFor {
		b.replicaReads++
	}
}

func (b *stickyBaseline) share() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reads == 0 {
		return 0
	}
	return float64(b.replicaReads) / float64(b.reads)
}
