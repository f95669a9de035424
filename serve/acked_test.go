package serve

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

// TestCommitsAreStuckOnlyWhileTheyAreTried replays the end of a cut failure domain: commits had gone unanswered during the cut, none
// was tried since, and a primary that served all others was replaced.
func TestCommitsAreStuckOnlyWhileTheyAreTried(t *testing.T) {
	s := &Server{commits: newCommitTracker()}
	now := time.Unix(100, 0)
	mark := model.Mark{Term: 1, Position: 7}
	s.commits.recordAnswered(now, "g", mark)
	sentAt := now.Add(time.Second)
	s.commits.recordUnanswered(sentAt.Add(800*time.Millisecond), sentAt, "g")
	require.Equal(t, sentAt, s.CommitStatus(sentAt.Add(time.Second), "g").StuckSince)
	require.Zero(t, s.CommitStatus(sentAt.Add(800*time.Millisecond+stuckTTL+time.Millisecond), "g").StuckSince)
	require.Equal(t, mark, s.CommitStatus(sentAt.Add(time.Hour), "g").Acked)
	later := sentAt.Add(10 * time.Second)
	s.commits.recordUnanswered(later.Add(time.Second), later, "g")
	require.Equal(t, later, s.CommitStatus(later.Add(time.Second), "g").StuckSince, "a new spell begins anew")
	s.commits.recordAnswered(later.Add(2*time.Second), "g", mark)
	require.Zero(t, s.CommitStatus(later.Add(2*time.Second), "g").StuckSince)
}
