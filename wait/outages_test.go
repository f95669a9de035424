package wait

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const failover Stage = "Failover"

func TestFirstOutageIsExpectedToLastAsLongAgain(t *testing.T) {
	o := NewOutages[string]()
	start := time.Unix(1000, 0)
	for _, elapsed := range []time.Duration{0, 10 * time.Millisecond, time.Second} {
		now := start.Add(elapsed)
		require.Equal(t, At(now.Add(elapsed)), o.Missing(now, "g", failover))
	}
}

func TestOutageIsExpectedToLastAsLongAsEarlierOnes(t *testing.T) {
	o := NewOutages[string]()
	at := time.Unix(1000, 0)
	for _, lasted := range []time.Duration{2 * time.Second, 4 * time.Second} {
		o.Missing(at, "g", failover)
		o.Missing(at.Add(lasted), "g", failover)
		o.Available("g")
		at = at.Add(time.Minute)
	}
	after := at.Add
	for _, c := range []struct {
		elapsed            time.Duration
		earliest, expected time.Time
	}{
		{0, after(2 * time.Second), after(4 * time.Second)},
		{time.Second, after(2 * time.Second), after(4 * time.Second)},
		{2500 * time.Millisecond, after(4 * time.Second), after(4 * time.Second)},
		{3500 * time.Millisecond, after(4 * time.Second), after(4 * time.Second)},
		{5 * time.Second, after(6 * time.Second), after(6 * time.Second)},
		{20 * time.Second, after(20*time.Second + maxOverdue), after(20*time.Second + maxOverdue)},
	} {
		require.Equal(t, Forecast{Earliest: c.earliest, Expected: c.expected}, o.Missing(after(c.elapsed), "other", failover), "after %s", c.elapsed)
	}
}

func TestStagesOfAnOutageAreForecastApart(t *testing.T) {
	const ordered Stage = "Ordered"
	o := NewOutages[string]()
	start := time.Unix(1000, 0)
	o.Missing(start, "g", failover)
	o.Missing(start.Add(3*time.Second), "g", ordered)
	o.Missing(start.Add(3300*time.Millisecond), "g", ordered)
	o.Available("g")
	require.Empty(t, o.Open())
	later := start.Add(time.Minute)
	require.Equal(t, later.Add(3300*time.Millisecond), o.Missing(later, "g", failover).Expected)
	require.Equal(t, later.Add(300*time.Millisecond), o.Missing(later, "h", ordered).Expected)
	require.ElementsMatch(t, []string{"g", "h"}, o.Open())
}

// TestShortOutagesSayNothingOfALongOne guards against callers that are held since most outages are over in a moment, when this one is not.
func TestShortOutagesSayNothingOfALongOne(t *testing.T) {
	const short, long = 20 * time.Millisecond, 4 * time.Second
	o := NewOutages[string]()
	at := time.Unix(1000, 0)
	for _, lasted := range []time.Duration{short, short, long, short, short} {
		o.Missing(at, "g", failover)
		o.Missing(at.Add(lasted), "g", failover)
		o.Available("g")
		at = at.Add(time.Minute)
	}
	require.Equal(t, At(at.Add(short)), o.Missing(at, "g", failover))
	require.Equal(t, At(at.Add(long)), o.Missing(at.Add(2*short), "g", failover))
}

// TestOutageWhoseEndNobodySawTeachesNothing guards against callers that are turned away for minutes since an earlier outage seemed to last until
// the next request.
func TestOutageWhoseEndNobodySawTeachesNothing(t *testing.T) {
	o := NewOutages[string]()
	start := time.Unix(1000, 0)
	o.Missing(start, "g", failover)
	o.Available("g") // A minute later.
	later := start.Add(time.Hour)
	require.Equal(t, At(later), o.Missing(later, "g", failover))
}
