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

// runRule are the decisions that a randomised run can break on purpose.
type runRule struct {
	bound          float64
	stewardsMustBe bool
	oldSetToo      bool
	announceProves bool
}

func soundRun() runRule { return runRule{bound: 1, stewardsMustBe: true, oldSetToo: true} }

type runVM struct {
	id          int
	boot        model.BootID
	holder      *Cache
	rate        float64
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

func playRuns(rule runRule) (breach string, acts, inForce int, faults map[string]int) {
	faults = map[string]int{}
	for seed := range runCount() {
		r := newFleetRun(uint64(seed), rule)
		r.run()
		acts += r.acts
		inForce += r.inForce
		for name, count := range r.faults {
			faults[name] += count
		}
		if r.breach != "" {
			return fmt.Sprintf("seed %d, %s", seed, r.breach), acts, inForce, faults
		}
	}
	return "", acts, inForce, faults
}

func TestRandomisedRunsNeverActOnAReplacedVersion(t *testing.T) {
	breach, acts, inForce, faults := playRuns(soundRun())
	require.Empty(t, breach)
	t.Logf("%d schedules of %v, %d chances to act, %d changes in force, faults: %v", runCount(), runLength, acts, inForce, faults)
	require.Positive(t, acts)
	require.Positive(t, inForce)
	for _, fault := range []string{"store outage", "partition", "pause", "death", "death and pause", "lost answer", "stewards replaced"} {
		require.Positive(t, faults[fault], "the runs must contain the fault %q", fault)
	}
}

func TestRandomisedRunsFindBrokenRules(t *testing.T) {
	broken := map[string]func(*runRule){
		"VMs act past the bound":                       func(r *runRule) { r.bound = 2 },
		"stewards that were told still confirm":        func(r *runRule) { r.stewardsMustBe = false },
		"the old stewards need not hear of a change":   func(r *runRule) { r.oldSetToo = false },
		"an announcement confirms, however late it is": func(r *runRule) { r.announceProves = true },
	}
	for name, breakRule := range broken {
		t.Run(name, func(t *testing.T) {
			rule := soundRun()
			breakRule(&rule)
			breach, _, _, _ := playRuns(rule)
			require.NotEmpty(t, breach, "the runs must find the broken rule")
		})
	}
}
