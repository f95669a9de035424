package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestDelayGrowsWithinItsBounds(t *testing.T) {
	b := Backoff{Base: 10 * time.Millisecond, Max: 100 * time.Millisecond}
	require.Equal(t, 5*time.Millisecond, b.Delay(0, 0))
	require.Equal(t, 20*time.Millisecond, b.Delay(2, 0))
	for retry := range 100 {
		require.LessOrEqual(t, b.Delay(retry, 0.999), 100*time.Millisecond)
		require.Positive(t, b.Delay(retry, 0))
	}
}

func TestBudgetBoundsRetries(t *testing.T) {
	b := NewBudget(0.1, 2)
	require.True(t, b.TrySpend())
	require.True(t, b.TrySpend())
	require.False(t, b.TrySpend())
	spent := 0
	for range 1000 {
		b.Earn()
		if b.TrySpend() {
			spent++
		}
	}
	require.InDelta(t, 100, spent, 2)
}
