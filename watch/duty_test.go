package watch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFewVMsAskAStoreThatTurnsTheReaderAway replays a failure domain of 45 VMs that is cut off, or whose reader is turned away: every VM
// asked the store for three tables again and again.
func TestFewVMsAskAStoreThatTurnsTheReaderAway(t *testing.T) {
	const vms = 45
	for _, reader := range []int{0, 1, 5} {
		counts := map[Role]int{}
		for rank := range vms {
			counts[RoleAt(rank, reader)]++
		}
		require.Equal(t, 1, counts[RoleReader])
		require.Equal(t, reader+standbyVMs, counts[RoleStandby], "those that were passed over, and those that come next")
	}
	require.Greater(t, RoleConsumer.maxAge(rowsMaxAge), RoleStandby.maxAge(rowsMaxAge))
	require.GreaterOrEqual(t, RoleConsumer.backoff().Max, 3*time.Second)
}
