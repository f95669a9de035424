package serve

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPollRoundsOfAGroupAreSpaced guards against a flood of requests: a group had no primary for 40 s, and each of 99 VMs asked its
// replicas ten times a second.
func TestPollRoundsOfAGroupAreSpaced(t *testing.T) {
	r := newPollRounds()
	now := time.Unix(100, 0)
	begun := 0
	for elapsed := time.Duration(0); elapsed < 3*time.Second; elapsed += refreshInterval {
		if r.tryBegin(now.Add(elapsed), "g") {
			begun++
			require.False(t, r.tryBegin(now.Add(elapsed), "g"), "one at a time")
			r.end(now.Add(elapsed), "g", pollRoundPause)
		}
	}
	require.Equal(t, int(3*time.Second/pollRoundPause), begun)
}
