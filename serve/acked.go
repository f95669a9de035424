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

type acked struct {
	mu     sync.Mutex
	groups map[model.GroupName]Commits
}

func newAcked() *acked { return &acked{groups: map[model.GroupName]Commits{}} }

func (a *acked) answered(now time.Time, group model.GroupName, mark model.Mark) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.groups[group]
	if c.Acked.Before(mark) {
		c.Acked = mark
	}
	c.AckedAt, c.StuckSince = now, time.Time{}
	a.groups[group] = c
}

// unanswered records a commit that was sent at an instant and got no answer.
func (a *acked) unanswered(sentAt time.Time, group model.GroupName) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.groups[group]
	if c.StuckSince.IsZero() && c.AckedAt.Before(sentAt) {
		c.StuckSince = sentAt
	}
	a.groups[group] = c
}

// Commits returns what this VM saw of commits in a group.
func (s *Server) Commits(group model.GroupName) Commits {
	s.acked.mu.Lock()
	defer s.acked.mu.Unlock()
	return s.acked.groups[group]
}
