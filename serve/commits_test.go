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
	c := newCommitTracker()
	now := time.Unix(100, 0)
	mark := model.Mark{Term: 1, Position: 7}
	c.recordAnswered("g", mark)
	c.recordAcked(now, "g")
	sentAt := now.Add(time.Second)
	c.recordUnanswered(sentAt.Add(800*time.Millisecond), sentAt, "g", 1)
	require.Equal(t, sentAt, c.status(sentAt.Add(time.Second), "g", 1).StuckSince)
	require.Zero(t, c.status(sentAt.Add(800*time.Millisecond+stuckTTL+time.Millisecond), "g", 1).StuckSince)
	require.Equal(t, mark, c.highestAnswered("g"))
	later := sentAt.Add(10 * time.Second)
	c.recordUnanswered(later.Add(time.Second), later, "g", 1)
	require.Equal(t, later, c.status(later.Add(time.Second), "g", 1).StuckSince, "a new run of unanswered commits starts over")
	c.recordAcked(later.Add(2*time.Second), "g")
	require.Zero(t, c.status(later.Add(2*time.Second), "g", 1).StuckSince)
}

// TestUnansweredCommitsDoNotCountAgainstTheNextPrimary guards against the replacement of a primary that has just taken over. Commits at the
// crashed primary before it had gone unanswered, and the new one was replaced 0.4 s after it was recorded (incident 26d8 of amarante).
func TestUnansweredCommitsDoNotCountAgainstTheNextPrimary(t *testing.T) {
	c := newCommitTracker()
	sentAt := time.Unix(100, 0)
	now := sentAt.Add(800 * time.Millisecond)
	c.recordUnanswered(now, sentAt, "g", 1)
	require.Equal(t, sentAt, c.status(now, "g", 1).StuckSince)
	require.Zero(t, c.status(now, "g", 2).StuckSince)
	sentAgainAt := sentAt.Add(400 * time.Millisecond)
	now = sentAgainAt.Add(800 * time.Millisecond)
	c.recordUnanswered(now, sentAgainAt, "g", 2)
	require.Equal(t, sentAgainAt, c.status(now, "g", 2).StuckSince, "the new primary has a run of its own")
	c.recordUnanswered(now, sentAt.Add(100*time.Millisecond), "g", 1)
	require.Equal(t, sentAgainAt, c.status(now, "g", 2).StuckSince, "a late result at the old primary changes nothing")
}
