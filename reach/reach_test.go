package reach

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestIsolatedOnlyIfTheStoreAndMostGroupsAreUnreachable(t *testing.T) {
	const fresh, old = 300 * time.Millisecond, 3 * time.Second
	ages := func(ages ...time.Duration) []time.Duration { return ages }
	for name, c := range map[string]struct {
		inputs Inputs
		want   bool
	}{
		"all reachable":                               {Inputs{fresh, ages(fresh, fresh, fresh)}, false},
		"failure domain isolated":                     {Inputs{old, ages(fresh, old, old)}, true},
		"isolated with all primaries":                 {Inputs{old, ages(fresh, fresh, fresh)}, false},
		"isolated with all primaries, leases expired": {Inputs{old, ages(old, old, old)}, true},
		"store unreachable":                           {Inputs{old, ages(fresh, fresh, old)}, false},
		"primaries fail":                              {Inputs{fresh, ages(old, old, old)}, false},
		"half of the groups unreachable":              {Inputs{old, ages(old, fresh)}, false},
		"no positions of groups":                      {Inputs{old, nil}, false},
	} {
		t.Run(name, func(t *testing.T) {
			var d IsolationDetector
			now := time.Unix(100, 0)
			require.False(t, d.Isolated(now, c.inputs), "only after minIsolationTime")
			require.Equal(t, c.want, d.Isolated(now.Add(minIsolationTime), c.inputs))
		})
	}
}

// TestOneLateAnswerDoesNotIsolate guards against taking a VM out of rotation because of single late answers: among 117 VMs without any
// fault, some received an answer from their reader a tenth of a second too late.
func TestOneLateAnswerDoesNotIsolate(t *testing.T) {
	const step = 100 * time.Millisecond
	late := Inputs{TableAge: 1250 * time.Millisecond, PositionAges: []time.Duration{1300 * time.Millisecond}}
	var d IsolationDetector
	now := time.Unix(100, 0)
	for n := range 50 {
		in := Inputs{TableAge: step, PositionAges: []time.Duration{step}}
		if n%5 < 2 {
			in = late
		}
		require.False(t, d.Isolated(now.Add(time.Duration(n)*step), in))
	}
}
