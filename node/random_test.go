package node

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
)

const (
	// seedsVariable sets the number of random runs; the default is 2.
	seedsVariable = "CROCUSSHORE_SEEDS"
	// runTime is how long one run injects faults.
	runTime = 5 * time.Second
	// recoveryTimeout bounds the time from the last fault until all nodes serve again.
	recoveryTimeout = 12 * time.Second
)

// TestRandomFaults injects faults of instances and of the store in random order under load. The stand-ins and the workload check that no
// acknowledged write is lost or applied twice, no rejected one is applied, sessions read what they wrote, and fencing tokens only grow.
func TestRandomFaults(t *testing.T) {
	seeds := 2
	if text := os.Getenv(seedsVariable); text != "" {
		parsed, err := strconv.Atoi(text)
		require.NoError(t, err)
		seeds = parsed
	}
	for seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { randomRun(t, uint64(seed)) })
	}
}

// TestRandomFaultsOfASeedThatFailed guards against commits that an instance acknowledged and a promotion removes.
func TestRandomFaultsOfASeedThatFailed(t *testing.T) {
	const seed = 7
	randomRun(t, seed)
}

func randomRun(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 11))
	s := newSite(t, 3)
	w := s.startWorkload()
	for until := time.Now().Add(runTime); time.Now().Before(until); {
		name := model.InstanceName(fmt.Sprintf("i-%d", 1+random.IntN(3)))
		if primary, _ := s.cluster.Primary(); primary != "" && random.IntN(2) == 0 {
			name = primary
		}
		fault := []stand.DatabaseFaults{{Down: true}, {Unresponsive: true}, {NoReplication: true}, {LoseAnswers: true}}[random.IntN(4)]
		store := []stand.RowsFaults{{}, {}, {Unavailable: true}, {LostAnswerShare: 0.4}, {UnavailableFor: map[string]bool{"vm-1": true}}, {Latency: 60 * time.Millisecond}}[random.IntN(6)]
		t.Logf("%s %+v, store %+v", name, fault, store)
		s.rows.SetFaults(store)
		s.cluster.SetFaults(name, fault)
		time.Sleep(time.Duration(200+random.IntN(1800)) * time.Millisecond)
		if random.IntN(3) == 0 {
			s.rows.DropHistory()
		}
		s.rows.SetFaults(stand.RowsFaults{})
		s.cluster.SetFaults(name, stand.DatabaseFaults{})
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
	}
	require.Eventually(t, func() bool { return s.serves(0) && s.serves(1) && s.serves(2) }, recoveryTimeout, 50*time.Millisecond, "all nodes serve again")
	w.finish(t, s)
}
