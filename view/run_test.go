package view

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

const (
	runSchedules = 200
	runLength    = 30 * time.Second
	runVMs       = 5
	runStewards  = 3
	maxDelay     = 120 * time.Millisecond
	maxDrift     = 0.004
)

// runRule are the rules that a randomised run can break on purpose.
type runRule struct {
	boundSeconds         float64
	attestHeldVersion    bool
	includeOldStewards   bool
	announcementConfirms bool
}

func correctRunRule() runRule {
	return runRule{boundSeconds: 1, attestHeldVersion: true, includeOldStewards: true}
}

type runVM struct {
	id          int
	boot        model.BootID
	cache       *Cache
	clockRate   float64
	pausedUntil time.Duration
	domain      int
}

type runEvent struct {
	at  time.Duration
	run func()
}

func runCount() int {
	if n, err := strconv.Atoi(os.Getenv("CROCUSSHORE_SCHEDULES")); err == nil && n > 0 {
		return n
	}
	return runSchedules
}

func playRuns(rule runRule) (violation string, acts, inEffect int, faults map[string]int) {
	faults = map[string]int{}
	for seed := range runCount() {
		r := newRandomRun(uint64(seed), rule)
		r.run()
		acts += r.acts
		inEffect += r.inEffect
		for name, count := range r.faults {
			faults[name] += count
		}
		if r.violation != "" {
			return fmt.Sprintf("seed %d, %s", seed, r.violation), acts, inEffect, faults
		}
	}
	return "", acts, inEffect, faults
}

func TestRandomisedRunsNeverActOnAReplacedVersion(t *testing.T) {
	violation, acts, inEffect, faults := playRuns(correctRunRule())
	require.Empty(t, violation)
	t.Logf("%d schedules of %v, %d chances to act, %d changes in effect, faults: %v", runCount(), runLength, acts, inEffect, faults)
	require.Positive(t, acts)
	require.Positive(t, inEffect)
	for _, fault := range []string{"store outage", "partition", "pause", "restart", "restart and pause", "lost answer", "stewards replaced"} {
		require.Positive(t, faults[fault], "the runs must contain the fault %q", fault)
	}
}

func TestRandomisedRunsFindBrokenRules(t *testing.T) {
	broken := map[string]func(*runRule){
		"VMs act past the bound":                            func(r *runRule) { r.boundSeconds = 2 },
		"stewards with a newer version still confirm":       func(r *runRule) { r.attestHeldVersion = false },
		"the old stewards need not acknowledge a change":    func(r *runRule) { r.includeOldStewards = false },
		"an announcement confirms, however late it arrives": func(r *runRule) { r.announcementConfirms = true },
	}
	for name, breakRule := range broken {
		t.Run(name, func(t *testing.T) {
			rule := correctRunRule()
			breakRule(&rule)
			violation, _, _, _ := playRuns(rule)
			require.NotEmpty(t, violation, "the runs must find the broken rule")
		})
	}
}
