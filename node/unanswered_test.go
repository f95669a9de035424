package node

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/peers"
	"github.com/crocusshore/crocusshore/stand"
)

// writeUnanswered writes through the first node; the primary commits, and its answer is lost.
func (s *site) writeUnanswered(t *testing.T) model.RequestID {
	t.Helper()
	writer, err := s.dial(0, "revise", "key-1")
	require.NoError(t, err)
	s.cluster.SetFaults("i-1", stand.DatabaseFaults{LoseAnswers: true})
	id, _, end, err := writer.ask("WRITE item-1 unanswered")
	require.NoError(t, err)
	require.True(t, strings.HasPrefix(end, "ERR INDOUBT"), end)
	return model.RequestID(id)
}

// TestCommitWithALostAnswerIsNotRemoved guards against lost commits that an instance acknowledged and no VM knows of: their answers had been
// lost as the primary failed. The only replica that had received them was out of reach, and the other one was promoted, since it had everything
// that VMs knew to be acknowledged.
func TestCommitWithALostAnswerIsNotRemoved(t *testing.T) {
	const watched = 3 * time.Second
	s := newSite(t, 3)
	s.commit(t, 5)
	request := peers.ReleaseRequest{Group: groupName}
	for _, n := range s.nodes {
		require.Eventually(t, func() bool { return n.Release(request).Complete }, 3*time.Second, 20*time.Millisecond)
	}
	s.cluster.SetFaults("i-3", stand.DatabaseFaults{NoReplication: true})
	id := s.writeUnanswered(t)
	s.cluster.SetFaults("i-1", stand.DatabaseFaults{Down: true})
	s.cluster.SetFaults("i-2", stand.DatabaseFaults{Unresponsive: true})
	time.Sleep(watched)
	require.Empty(t, s.cluster.LostCommits())
	s.cluster.SetFaults("i-2", stand.DatabaseFaults{})
	s.cluster.SetFaults("i-3", stand.DatabaseFaults{})
	require.Eventually(t, func() bool { return s.serves(0) }, 8*time.Second, 20*time.Millisecond, "i-2 is back")
	require.Equal(t, 1, s.cluster.CommitCount(id))
}

// TestReleaseWithAnUnansweredCommitIsNotComplete guards against the same: the confirmation of a VM counted as complete while the answer to a commit
// was missing. A later log position of the primary includes the commit.
func TestReleaseWithAnUnansweredCommitIsNotComplete(t *testing.T) {
	s := newSite(t, 2)
	s.commit(t, 5)
	request := peers.ReleaseRequest{Group: groupName}
	complete := func() bool { return s.nodes[0].Release(request).Complete }
	require.Eventually(t, complete, 3*time.Second, 20*time.Millisecond)
	s.writeUnanswered(t)
	require.False(t, complete(), "what the unanswered write committed is unknown")
	s.cluster.SetFaults("i-1", stand.DatabaseFaults{})
	require.Eventually(t, func() bool { return s.serves(0) && complete() }, 4*time.Second, 50*time.Millisecond, "the primary answers again")
}
