package wait

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRequestWaitsOnlyForWhatComesInTime(t *testing.T) {
	start := time.Unix(1000, 0)
	after := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name       string
		now        time.Time
		expected   time.Time
		work       time.Duration
		wait       bool
		retryAfter time.Duration
	}{
		{"in time", start, after(500), 100 * time.Millisecond, true, 500 * time.Millisecond},
		{"just in time", start, after(800), 100 * time.Millisecond, true, 800 * time.Millisecond},
		{"no time for the work", start, after(801), 100 * time.Millisecond, false, 801 * time.Millisecond},
		{"unknown work", start, after(999), 0, true, 999 * time.Millisecond},
		{"after the deadline", start, after(3000), 0, false, 3 * time.Second},
		{"too late to start", after(800), after(800), 100 * time.Millisecond, false, minRetryAfter},
		{"overdue", after(100), after(50), 0, true, minRetryAfter},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := Decide(c.now, At(c.expected), Request{Deadline: after(1000), Work: c.work})
			require.Equal(t, c.wait, d.Wait)
			require.Equal(t, c.retryAfter, d.RetryAfter)
			require.Equal(t, after(1000).Add(-2*c.work), d.Until)
		})
	}
}

func TestSpreadKeepsCallersApartAndSendsNobodyBackEarly(t *testing.T) {
	require.Equal(t, time.Second, Spread(time.Second, 0))
	require.Equal(t, 1250*time.Millisecond, Spread(time.Second, 0.5))
	require.Equal(t, minRetryAfter, Spread(0, 0))
}
