package memory

import (
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// sessionFree is the size in bytes up to which the values and prepared statements of a session are covered by connectionCost.
const sessionFree = 2 << 10

// sessionRoom is the memory that the values and prepared statements of a session take of the budget.
type sessionRoom struct {
	budget *Budget

	mu     sync.Mutex
	team   model.TeamName
	held   int64
	closed bool
}

func (s *sessionRoom) setTeam(team model.TeamName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.team = team
}

// set takes or returns memory so that the session has what values and prepared statements of some bytes need. It never waits, since nothing shows when a
// session will need less.
func (s *sessionRoom) set(now time.Time, bytes int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	need := max(0, bytes-sessionFree)
	switch {
	case s.closed:
		return ErrNoRoom
	case need < s.held:
		s.budget.give(UseSessions, s.team, s.held-need)
	case need > s.held && !s.budget.take(now, now, UseSessions, s.team, need-s.held):
		s.budget.counts.Add(KindSession)
		return ErrNoRoom
	}
	s.held = need
	return nil
}

func (s *sessionRoom) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.budget.give(UseSessions, s.team, s.held)
	s.held = 0
}
