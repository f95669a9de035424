package serve

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRoundsOfAGroupWithoutAPrimaryAreFew replays a group that had no primary for 40 s before 99 VMs: each asked its replicas ten
// times a second.
func TestRoundsOfAGroupWithoutAPrimaryAreFew(t *testing.T) {
	r := newRounds()
	now := time.Unix(100, 0)
	begun := 0
	for elapsed := time.Duration(0); elapsed < 3*time.Second; elapsed += refreshPause {
		if r.begin(now.Add(elapsed), "g") {
			begun++
			require.False(t, r.begin(now.Add(elapsed), "g"), "one at a time")
			r.end(now.Add(elapsed), "g", refreshAgain)
		}
	}
	require.Equal(t, int(3*time.Second/refreshAgain), begun)
}
