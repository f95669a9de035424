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
	s := &Server{acked: newAcked()}
	now := time.Unix(100, 0)
	mark := model.Mark{Term: 1, Position: 7}
	s.acked.answered(now, "g", mark)
	sentAt := now.Add(time.Second)
	s.acked.unanswered(sentAt.Add(800*time.Millisecond), sentAt, "g")
	require.Equal(t, sentAt, s.Commits(sentAt.Add(time.Second), "g").StuckSince)
	require.Zero(t, s.Commits(sentAt.Add(800*time.Millisecond+stuckTime+time.Millisecond), "g").StuckSince)
	require.Equal(t, mark, s.Commits(sentAt.Add(time.Hour), "g").Acked)
	later := sentAt.Add(10 * time.Second)
	s.acked.unanswered(later.Add(time.Second), later, "g")
	require.Equal(t, later, s.Commits(later.Add(time.Second), "g").StuckSince, "a new spell begins anew")
	s.acked.answered(later.Add(2*time.Second), "g", mark)
	require.Zero(t, s.Commits(later.Add(2*time.Second), "g").StuckSince)
}
