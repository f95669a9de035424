package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/stand"
)

// TestReplicaThatStartedAgainUnregisteredMakesNoReadStale guards against stale reads while the primary is unreachable: a replica that had started
// again was counted as the recorded one, so the position of a replica without the last commits seemed to cover every commit.
func TestReplicaThatStartedAgainUnregisteredMakesNoReadStale(t *testing.T) {
	const maxStaleness, watched = 1500 * time.Millisecond, 5 * time.Second
	s := newSite(t, 3)
	writer, err := s.dial(0, "revise", "key-1")
	require.NoError(t, err)
	writer.must(t, "WRITE item-1 first")
	time.Sleep(time.Second)
	s.cluster.SetFaults("i-3", stand.DatabaseFaults{NoReplication: true})
	writer.must(t, "WRITE item-1 second")
	acked := time.Now()
	s.holdReplacement(t)
	s.cluster.SetFaults("i-1", stand.DatabaseFaults{Unresponsive: true})
	s.cluster.Restart("i-2", time.Now())
	stale := 0
	for time.Since(acked) < watched {
		for node := range s.nodes {
			reader, err := s.dial(node, "browse", "key-1")
			require.NoError(t, err)
			began := time.Now()
			_, rows, end, err := reader.ask("READ item-1")
			require.NoError(t, err)
			if began.Sub(acked) > maxStaleness && end[:3] != "ERR" && (len(rows) != 1 || rows[0] != "second") {
				stale++
			}
			_ = reader.conn.Close()
		}
		time.Sleep(50 * time.Millisecond)
	}
	require.Zero(t, stale, "reads that lack a commit older than the route allows")
}
