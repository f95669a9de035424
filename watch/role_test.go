package watch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFewVMsReadAStoreThatRejectsTheReader guards against a flood of calls: in a failure domain of 45 VMs that was partitioned, or whose
// reader the store rejected, every VM called the store for three tables again and again.
func TestFewVMsReadAStoreThatRejectsTheReader(t *testing.T) {
	const vms = 45
	for _, reader := range []int{0, 1, 5} {
		counts := map[Role]int{}
		for rank := range vms {
			counts[RoleAt(rank, reader)]++
		}
		require.Equal(t, 1, counts[RoleReader])
		require.Equal(t, reader+standbyVMs, counts[RoleStandby], "the skipped VMs, and the next ones")
	}
	require.Greater(t, RoleConsumer.maxAge(rowsMaxAge), RoleStandby.maxAge(rowsMaxAge))
	require.GreaterOrEqual(t, RoleConsumer.backoff().Max, 3*time.Second)
}
