package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/stand"
)

// TestReplicaThatStartedAgainBeforeItRegistersIsNotComplete guards against lost commits while the store still has the registration of a replica
// that ended: it answers again and holds nothing, counted as the one that commits rested on, and the other replica, which had received nothing,
// was promoted.
func TestReplicaThatStartedAgainBeforeItRegistersIsNotComplete(t *testing.T) {
	const registeredAfter, watched = 2 * time.Second, 5 * time.Second
	s := newSite(t, 3)
	s.cluster.SetFaults("i-3", stand.DatabaseFaults{NoReplication: true})
	s.commit(t, 20)
	s.cluster.SetFaults("i-1", stand.DatabaseFaults{Down: true})
	again := s.cluster.Restart("i-2", time.Now())
	time.AfterFunc(registeredAfter, func() { s.announce(again, "ready") })
	time.Sleep(watched)
	s.requireKept(t, "i-1")
	s.cluster.SetFaults("i-1", stand.DatabaseFaults{})
	s.cluster.SetFaults("i-3", stand.DatabaseFaults{})
	require.Eventually(t, func() bool { return s.serves(0) }, 8*time.Second, 20*time.Millisecond, "the primary is back with its log")
}
