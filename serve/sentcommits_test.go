package serve

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestUnansweredStatementLeavesOpenWhatWasCommitted guards against lost commits: an instance had acknowledged them and the answers were on the way,
// or lost, while the confirmation of the VM counted as complete.
func TestUnansweredStatementLeavesOpenWhatWasCommitted(t *testing.T) {
	s := newSentCommits()
	sentAt := time.Unix(100, 0)
	require.True(t, s.covered("g", time.Time{}), "nothing was sent")
	s.begin("g")
	s.begin("g")
	require.False(t, s.covered("g", sentAt.Add(time.Hour)), "both wait for their answers")
	require.True(t, s.covered("other", sentAt))
	s.end(sentAt, "g", true)
	require.False(t, s.covered("g", sentAt.Add(time.Hour)), "one waits for its answer")
	gaveUpAt := sentAt.Add(800 * time.Millisecond)
	s.end(gaveUpAt, "g", false)
	require.False(t, s.covered("g", gaveUpAt.Add(lateCommitTime-time.Millisecond)), "the primary may still run it")
	require.True(t, s.covered("g", gaveUpAt.Add(lateCommitTime)))
	s.begin("g")
	s.end(gaveUpAt.Add(time.Minute), "g", true)
	require.True(t, s.covered("g", gaveUpAt.Add(lateCommitTime)), "one that was answered leaves nothing open")
	require.False(t, s.covered("g", gaveUpAt), "and settles nothing of the one before")
}
