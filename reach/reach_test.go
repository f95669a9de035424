package reach

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCutOffNeedsASilentStoreAndMostGroupsOutOfReach(t *testing.T) {
	const fresh, old = 300 * time.Millisecond, 3 * time.Second
	ages := func(ages ...time.Duration) []time.Duration { return ages }
	for name, c := range map[string]struct {
		signs Inputs
		want  bool
	}{
		"calm":                       {Inputs{fresh, ages(fresh, fresh, fresh)}, false},
		"failure domain cut off":     {Inputs{old, ages(fresh, old, old)}, true},
		"cut off with all primaries": {Inputs{old, ages(fresh, fresh, fresh)}, false},
		"cut off with all primaries, leases over": {Inputs{old, ages(old, old, old)}, true},
		"store away":              {Inputs{old, ages(fresh, fresh, old)}, false},
		"primaries fail":          {Inputs{fresh, ages(old, old, old)}, false},
		"half of the groups lost": {Inputs{old, ages(old, fresh)}, false},
		"nothing known of groups": {Inputs{old, nil}, false},
	} {
		t.Run(name, func(t *testing.T) {
			var j IsolationDetector
			now := time.Unix(100, 0)
			require.False(t, j.Isolated(now, c.signs), "not at once")
			require.Equal(t, c.want, j.Isolated(now.Add(minIsolationTime), c.signs))
		})
	}
}

// TestOneLateAnswerIsNoCut replays calm seconds of 117 VMs, in which some VMs heard from their reader a tenth of a second too late.
func TestOneLateAnswerIsNoCut(t *testing.T) {
	const step = 100 * time.Millisecond
	late := Inputs{TableAge: 1250 * time.Millisecond, PositionAges: []time.Duration{1300 * time.Millisecond}}
	var j IsolationDetector
	now := time.Unix(100, 0)
	for n := range 50 {
		signs := Inputs{TableAge: step, PositionAges: []time.Duration{step}}
		if n%5 < 2 {
			signs = late
		}
		require.False(t, j.Isolated(now.Add(time.Duration(n)*step), signs))
	}
}
