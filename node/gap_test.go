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

// longestGap is how long writes may go unplaced, as the stated size says of a change of primary.
const longestGap = 12 * time.Second

// failures are kinds of trouble after which a group needs another primary; each ends by itself or is ended by what it returns.
var failures = map[string]func(s *site) (end func()){
	"crash": func(s *site) func() { return s.fail("i-1", stand.DatabaseFaults{Down: true}) },
	"dark":  func(s *site) func() { return s.fail("i-1", stand.DatabaseFaults{Dark: true}) },
	"leaves": func(s *site) func() {
		primary := s.cluster.Instance("i-1")
		s.announce(primary, "draining")
		return func() {}
	},
	"cut from its replicas": func(s *site) func() {
		first := s.fail("i-2", stand.DatabaseFaults{Deaf: true})
		second := s.fail("i-3", stand.DatabaseFaults{Deaf: true})
		time.AfterFunc(3*time.Second, func() {
			first()
			second()
		})
		return func() {}
	},
	"deaf replica, then crash": func(s *site) func() {
		hears := s.fail("i-2", stand.DatabaseFaults{Deaf: true})
		time.Sleep(200 * time.Millisecond)
		back := s.fail("i-1", stand.DatabaseFaults{Down: true})
		// A commit needs a replica that receives it, also at the next primary.
		time.AfterFunc(time.Second, hears)
		return back
	},
}

func (s *site) fail(name model.InstanceName, faults stand.DatabaseFaults) (end func()) {
	s.cluster.SetFaults(name, faults)
	return func() { s.cluster.SetFaults(name, stand.DatabaseFaults{}) }
}

// TestGapByKindOfFailure measures how long no write is placed; CROCUSSHORE_SEEDS=20 prints the median and the worst of twenty runs.
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
					gap := gapOf(t, uint64(seed), begin)
					mu.Lock()
					defer mu.Unlock()
					gaps = append(gaps, gap.Round(time.Millisecond))
				})
			}
			require.NotEmpty(t, gaps)
			slices.Sort(gaps)
			t.Logf("%s: median %s, worst %s of %d", kind, gaps[len(gaps)/2], gaps[len(gaps)-1], len(gaps))
			require.LessOrEqual(t, gaps[len(gaps)-1], longestGap)
		})
	}
}

func gapOf(t *testing.T, seed uint64, begin func(s *site) func()) time.Duration {
	t.Helper()
	const phase = 600 * time.Millisecond
	s := newSite(t, 3)
	w := s.work()
	time.Sleep(300*time.Millisecond + time.Duration(rand.New(rand.NewPCG(seed, 1)).Int64N(int64(phase))))
	end := begin(s)
	require.Eventually(t, func() bool { p, _ := s.cluster.Primary(); return p != "" && p != "i-1" }, longestGap, 5*time.Millisecond)
	require.Eventually(t, func() bool { return s.serves(0) && s.serves(1) && s.serves(2) }, longestGap, 20*time.Millisecond)
	end()
	w.finish(t, s)
	return w.longestGap
}
