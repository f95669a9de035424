package serve

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

// TestUnansweredCommitsExpireWithoutNewAttempts guards against the replacement of a primary because of old evidence. Commits of an isolated
// failure domain had gone unanswered and none was attempted afterwards; the primary was replaced although it served all other VMs.
func TestUnansweredCommitsExpireWithoutNewAttempts(t *testing.T) {
	s := &Server{commits: newCommitTracker()}
	now := time.Unix(100, 0)
	mark := model.Mark{Term: 1, Position: 7}
	s.commits.recordAcked(now, "g", mark)
	sentAt := now.Add(time.Second)
	s.commits.recordUnanswered(sentAt.Add(800*time.Millisecond), sentAt, "g")
	require.Equal(t, sentAt, s.CommitStatus(sentAt.Add(time.Second), "g").StuckSince)
	require.Zero(t, s.CommitStatus(sentAt.Add(800*time.Millisecond+stuckTTL+time.Millisecond), "g").StuckSince)
	require.Equal(t, mark, s.CommitStatus(sentAt.Add(time.Hour), "g").Acked)
	later := sentAt.Add(10 * time.Second)
	s.commits.recordUnanswered(later.Add(time.Second), later, "g")
	require.Equal(t, later, s.CommitStatus(later.Add(time.Second), "g").StuckSince, "a new run of unanswered commits starts over")
	s.commits.recordAcked(later.Add(2*time.Second), "g", mark)
	require.Zero(t, s.CommitStatus(later.Add(2*time.Second), "g").StuckSince)
}
