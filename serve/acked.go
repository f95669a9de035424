package serve

import (
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// CommitStatus is what a VM saw of commits in a group.
type CommitStatus struct {
	// Acked is the highest position that a caller was told is committed.
	Acked model.Mark
	// AckedAt is when a commit was last answered, and StuckSince since when none was though some were sent.
	AckedAt    time.Time
	StuckSince time.Time
}

// stuckTTL is how long a commit without an answer says something about the primary, if no other is tried.
const stuckTTL = 1500 * time.Millisecond

type (
	commitTracker struct {
		mu     sync.Mutex
		groups map[model.GroupName]groupCommits
	}

	// groupCommits is what was seen of a group with the instant at which a commit last went unanswered.
	groupCommits struct {
		status       CommitStatus
		unansweredAt time.Time
	}
)

func newCommitTracker() *commitTracker {
	return &commitTracker{groups: map[model.GroupName]groupCommits{}}
}

func (a *commitTracker) recordAnswered(now time.Time, group model.GroupName, mark model.Mark) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.groups[group]
	if t.status.Acked.Before(mark) {
		t.status.Acked = mark
	}
	t.status.AckedAt, t.status.StuckSince = now, time.Time{}
	a.groups[group] = t
}

// recordUnanswered records a commit that was sent at an instant and got no answer until now.
func (a *commitTracker) recordUnanswered(now, sentAt time.Time, group model.GroupName) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.groups[group]
	if t.status.AckedAt.Before(sentAt) {
		if t.status.StuckSince.IsZero() || now.Sub(t.unansweredAt) > stuckTTL {
			t.status.StuckSince = sentAt
		}
		t.unansweredAt = now
	}
	a.groups[group] = t
}

// CommitStatus returns what this VM saw of commits in a group; commits that went unanswered long ago do not count as stuck.
func (s *Server) CommitStatus(now time.Time, group model.GroupName) CommitStatus {
	s.commits.mu.Lock()
	defer s.commits.mu.Unlock()
	t := s.commits.groups[group]
	if now.Sub(t.unansweredAt) > stuckTTL {
		t.status.StuckSince = time.Time{}
	}
	return t.status
}
