package serve

import (
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// Commits is what a VM saw of commits in a group.
type Commits struct {
	// Acked is the highest position that a caller was told is committed.
	Acked model.Mark
	// AckedAt is when a commit was last answered, and StuckSince since when none was though some were sent.
	AckedAt    time.Time
	StuckSince time.Time
}

// stuckTime is how long a commit without an answer says something about the primary, if no other is tried.
const stuckTime = 1500 * time.Millisecond

type (
	acked struct {
		mu     sync.Mutex
		groups map[model.GroupName]tried
	}

	// tried is what was seen of a group with the instant at which a commit last went unanswered.
	tried struct {
		commits Commits
		lostAt  time.Time
	}
)

func newAcked() *acked { return &acked{groups: map[model.GroupName]tried{}} }

func (a *acked) answered(now time.Time, group model.GroupName, mark model.Mark) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.groups[group]
	if t.commits.Acked.Before(mark) {
		t.commits.Acked = mark
	}
	t.commits.AckedAt, t.commits.StuckSince = now, time.Time{}
	a.groups[group] = t
}

// unanswered records a commit that was sent at an instant and got no answer until now.
func (a *acked) unanswered(now, sentAt time.Time, group model.GroupName) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.groups[group]
	if t.commits.AckedAt.Before(sentAt) {
		if t.commits.StuckSince.IsZero() || now.Sub(t.lostAt) > stuckTime {
			t.commits.StuckSince = sentAt
		}
		t.lostAt = now
	}
	a.groups[group] = t
}

// Commits returns what this VM saw of commits in a group; commits that went unanswered long ago do not count as stuck.
func (s *Server) Commits(now time.Time, group model.GroupName) Commits {
	s.acked.mu.Lock()
	defer s.acked.mu.Unlock()
	t := s.acked.groups[group]
	if now.Sub(t.lostAt) > stuckTime {
		t.commits.StuckSince = time.Time{}
	}
	return t.commits
}
