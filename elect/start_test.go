package elect

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFailureThatFewVMsObserveIsActedOnSoon guards against a failed primary that is left alone for seconds in a large fleet. Only the VMs
// that own connections to it and the readers observe the failure, ten and five of 295, and each waited a quarter of a second for each of
// the VMs ranked before it, most of which had nothing to observe.
func TestFailureThatFewVMsObserveIsActedOnSoon(t *testing.T) {
	const owners, readers, runs = 10, 5, 200
	for _, vms := range []int{20, 117, 295, 930} {
		random := rand.New(rand.NewPCG(1, uint64(vms)))
		var withReaders, withoutReaders []time.Duration
		for range runs {
			first := observerDelay + observerSpread
			for range owners {
				first = min(first, StartDelay(Turn{Reader: -1, Spread: random.Float64()}))
			}
			withoutReaders = append(withoutReaders, first)
			for rank := range readers {
				first = min(first, StartDelay(Turn{Reader: rank}))
			}
			withReaders = append(withReaders, first)
		}
		require.Zero(t, slices.Max(withReaders), "%d VMs", vms)
		slices.Sort(withoutReaders)
		require.Less(t, withoutReaders[runs/2], time.Second, "%d VMs, median", vms)
	}
}

func TestReadersActOneAfterTheOther(t *testing.T) {
	require.Zero(t, StartDelay(Turn{Reader: 0}))
	require.Equal(t, 2*readerDelay, StartDelay(Turn{Reader: 2}))
	require.GreaterOrEqual(t, StartDelay(Turn{Reader: -1}), 2*readerDelay, "two readers have had their turn")
	require.LessOrEqual(t, StartDelay(Turn{Reader: -1, Spread: 1}), 2500*time.Millisecond, "whatever the number of VMs")
}
