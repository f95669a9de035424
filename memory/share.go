package memory

import "github.com/crocusshore/crocusshore/model"

// share is the part of the budget for one use.
type share struct {
	size, used int64
	teams      map[model.TeamName]int64
	// waiting are the requests that did not fit, in the order in which they came.
	waiting []*waiter
}

// waiter is a request that waits for memory; granted is closed once it has it.
type waiter struct {
	team    model.TeamName
	bytes   int64
	granted chan struct{}
}

func newShare(size int64) *share { return &share{size: size, teams: map[model.TeamName]int64{}} }

// fits reports whether a team may use more bytes. One team never gets more than a part of the share, or one message where that is more.
func (s *share) fits(team model.TeamName, bytes int64) bool {
	if s.used+bytes > s.size {
		return false
	}
	return team == "" || s.teams[team] == 0 || float64(s.teams[team]+bytes) <= teamShare*float64(s.size)
}

func (s *share) add(team model.TeamName, bytes int64) {
	s.used += bytes
	if team == "" {
		return
	}
	s.teams[team] += bytes
	if s.teams[team] == 0 {
		delete(s.teams, team)
	}
}

// grant grants the waiting requests that fit, in the order in which they came.
func (s *share) grant() {
	left := s.waiting[:0]
	for _, w := range s.waiting {
		if !s.fits(w.team, w.bytes) {
			left = append(left, w)
			continue
		}
		s.add(w.team, w.bytes)
		close(w.granted)
	}
	clear(s.waiting[len(left):])
	s.waiting = left
}

// forget removes a request that no longer waits.
func (s *share) forget(gone *waiter) {
	for i, w := range s.waiting {
		if w == gone {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
}
