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
		signs Signs
		want  bool
	}{
		"calm":                       {Signs{fresh, ages(fresh, fresh, fresh)}, false},
		"failure domain cut off":     {Signs{old, ages(fresh, old, old)}, true},
		"cut off with all primaries": {Signs{old, ages(fresh, fresh, fresh)}, false},
		"cut off with all primaries, leases over": {Signs{old, ages(old, old, old)}, true},
		"store away":              {Signs{old, ages(fresh, fresh, old)}, false},
		"primaries fail":          {Signs{fresh, ages(old, old, old)}, false},
		"half of the groups lost": {Signs{old, ages(old, fresh)}, false},
		"nothing known of groups": {Signs{old, nil}, false},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, CutOff(c.signs)) })
	}
}
