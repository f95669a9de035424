package serve

import (
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// CommitStatus is what this VM observed of the commits in a group.
type CommitStatus struct {
	// AckedAt is when a commit was last acknowledged. StuckSince is when the first commit of the current run of unanswered ones was
	// sent; it is zero if there is no such run.
	AckedAt    time.Time
	StuckSince time.Time
}

// stuckTTL is how long after the last unanswered commit a group still counts as stuck.
const stuckTTL = 1500 * time.Millisecond

type (
	// commitTracker records the acknowledged and the unanswered commits of each group; it is safe for concurrent use.
	commitTracker struct {
		mu     sync.Mutex
		groups map[model.GroupName]groupCommits
	}

	// groupCommits is what was observed of a group. unansweredAt is when a commit was last found to be unanswered, and unansweredTerm the term
	// of the primary that it was sent to.
	groupCommits struct {
		status CommitStatus
		// answered is the highest log position that an instance answered as committed, whether or not the caller was told.
		answered       model.Mark
		unansweredAt   time.Time
		unansweredTerm model.Term
	}
)

func newCommitTracker() *commitTracker {
	return &commitTracker{groups: map[model.GroupName]groupCommits{}}
}

// recordAnswered records that an instance answered a commit at a log position, which may still not be acknowledged to the caller.
func (c *commitTracker) recordAnswered(group model.GroupName, mark model.Mark) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.groups[group]
	if g.answered.Before(mark) {
		g.answered = mark
	}
	c.groups[group] = g
}

// highestAnswered returns the highest log position that an instance answered as committed.
func (c *commitTracker) highestAnswered(group model.GroupName) model.Mark {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.groups[group].answered
}

// recordAcked records that a commit was acknowledged to its caller.
func (c *commitTracker) recordAcked(now time.Time, group model.GroupName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.groups[group]
	g.status.AckedAt, g.status.StuckSince = now, time.Time{}
	c.groups[group] = g
}

// recordUnanswered records a commit that was sent at sentAt to the primary of a term and has no answer by now.
func (c *commitTracker) recordUnanswered(now, sentAt time.Time, group model.GroupName, term model.Term) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.groups[group]
	if term < g.unansweredTerm {
		return // A late result at a primary that was replaced says nothing of the present one.
	}
	if g.status.AckedAt.Before(sentAt) {
		if g.status.StuckSince.IsZero() || now.Sub(g.unansweredAt) > stuckTTL || g.unansweredTerm != term {
			g.status.StuckSince = sentAt
		}
		g.unansweredAt, g.unansweredTerm = now, term
	}
	c.groups[group] = g
}

// status returns what was observed of the commits in a group whose primary is that of a term. Commits that went unanswered longer ago than
// stuckTTL, or at the primary of another term, do not count as stuck.
func (c *commitTracker) status(now time.Time, group model.GroupName, term model.Term) CommitStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.groups[group]
	if now.Sub(g.unansweredAt) > stuckTTL || g.unansweredTerm != term {
		g.status.StuckSince = time.Time{}
	}
	return g.status
}

// CommitStatus returns what this VM observed of the commits in a group.
func (s *Server) CommitStatus(now time.Time, group model.GroupName) CommitStatus {
	return s.commits.status(now, group, s.config.Cache.Snapshot().Primaries[group].Term)
}
