package serve

import (
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// inflight counts the statements that may commit on the primary of a group, so that a switch can wait for their answers.
type inflight struct {
	mu     sync.Mutex
	counts map[model.GroupName]int
}

func newInflight() *inflight { return &inflight{counts: map[model.GroupName]int{}} }

func (f *inflight) add(group model.GroupName, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[group] += n
}

func (f *inflight) count(group model.GroupName) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts[group]
}

// settlePoll is how often a switch looks whether statements were answered.
const settlePoll = 5 * time.Millisecond

// Settle waits until no statement of a group that may commit is unanswered, up to wait.
func (s *Server) Settle(group model.GroupName, wait time.Duration) bool {
	for waited := time.Duration(0); s.inflight.count(group) > 0; waited += settlePoll {
		if waited >= wait {
			return false
		}
		time.Sleep(settlePoll)
	}
	return true
}

// Confirm records that this VM does not use the primary of a group any more; no commit under an older lease is acknowledged after it.
func (s *Server) Confirm(group model.GroupName, version int64) {
	s.confirming.Lock()
	defer s.confirming.Unlock()
	s.config.World.Confirm(group, version)
}
