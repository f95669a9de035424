package node

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
)

// maxWriteGap bounds how long no write may succeed during a change of primary, in accordance with the stated capacity.
const maxWriteGap = 12 * time.Second

// failures are the faults after which a group needs another primary; each one ends by itself or when the returned function is called.
var failures = map[string]func(s *site) (end func()){
	"crash":       func(s *site) func() { return s.fail("i-1", stand.DatabaseFaults{Down: true}) },
	"unreachable": func(s *site) func() { return s.fail("i-1", stand.DatabaseFaults{Unresponsive: true}) },
	"leaves": func(s *site) func() {
		primary := s.cluster.Instance("i-1")
		s.announce(primary, "draining")
		return func() {}
	},
	"partitioned from its replicas": func(s *site) func() {
		endFirst := s.fail("i-2", stand.DatabaseFaults{NoReplication: true})
		endSecond := s.fail("i-3", stand.DatabaseFaults{NoReplication: true})
		time.AfterFunc(3*time.Second, func() {
			endFirst()
			endSecond()
		})
		return func() {}
	},
	"replica without replication, then crash": func(s *site) func() {
		endNoReplication := s.fail("i-2", stand.DatabaseFaults{NoReplication: true})
		time.Sleep(200 * time.Millisecond)
		endCrash := s.fail("i-1", stand.DatabaseFaults{Down: true})
		// A commit needs a replica that receives it, also at the next primary.
		time.AfterFunc(time.Second, endNoReplication)
		return endCrash
	},
}

// fail injects faults into an instance; the returned function ends them.
func (s *site) fail(name model.InstanceName, faults stand.DatabaseFaults) (end func()) {
	s.cluster.SetFaults(name, faults)
	return func() { s.cluster.SetFaults(name, stand.DatabaseFaults{}) }
}

// TestGapByKindOfFailure measures the longest time without a successful write; CROCUSSHORE_SEEDS=20 prints the median and the worst of
// twenty runs.
func TestGapByKindOfFailure(t *testing.T) {
	seeds, err := strconv.Atoi(os.Getenv("CROCUSSHORE_SEEDS"))
	if err != nil {
		seeds = 1
	}
	for kind, begin := range failures {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			var gaps []time.Duration
			for seed := range seeds {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					gap := measureGap(t, uint64(seed), begin)
					mu.Lock()
					defer mu.Unlock()
					gaps = append(gaps, gap.Round(time.Millisecond))
				})
			}
			require.NotEmpty(t, gaps)
			slices.Sort(gaps)
			t.Logf("%s: median %s, worst %s of %d", kind, gaps[len(gaps)/2], gaps[len(gaps)-1], len(gaps))
			require.LessOrEqual(t, gaps[len(gaps)-1], maxWriteGap)
		})
	}
}

func measureGap(t *testing.T, seed uint64, begin func(s *site) func()) time.Duration {
	t.Helper()
	const maxExtraDelay = 600 * time.Millisecond
	s := newSite(t, 3)
	w := s.startWorkload()
	time.Sleep(300*time.Millisecond + time.Duration(rand.New(rand.NewPCG(seed, 1)).Int64N(int64(maxExtraDelay))))
	end := begin(s)
	require.Eventually(t, func() bool { p, _ := s.cluster.Primary(); return p != "" && p != "i-1" }, maxWriteGap, 5*time.Millisecond)
	require.Eventually(t, func() bool { return s.serves(0) && s.serves(1) && s.serves(2) }, maxWriteGap, 20*time.Millisecond)
	end()
	w.finish(t, s)
	return w.longestGap
}
