package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestNowAdvancesAndHasNoMonotonicReading(t *testing.T) {
	a := Now()
	time.Sleep(2 * time.Millisecond)
	b := Now()
	require.Greater(t, b.Sub(a), time.Millisecond)
	require.Equal(t, a, a.Round(0), "a monotonic reading would hide suspended time")
}

func TestEarlier(t *testing.T) {
	a := Now()
	b := a.Add(1)
	require.Equal(t, a, Earlier(a, b))
	require.Equal(t, a, Earlier(b, a))
	require.Equal(t, a, Earlier(a, a))
}
