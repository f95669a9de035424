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

// inflightPollInterval is how often a switch looks whether statements were answered.
const inflightPollInterval = 5 * time.Millisecond

// AwaitInFlight waits until no statement of a group that may commit is unanswered, up to wait.
func (s *Server) AwaitInFlight(group model.GroupName, wait time.Duration) bool {
	for waited := time.Duration(0); s.inflight.count(group) > 0; waited += inflightPollInterval {
		if waited >= wait {
			return false
		}
		time.Sleep(inflightPollInterval)
	}
	return true
}

// ConfirmRelease records that this VM does not use the primary of a group any more; no commit under an older lease is acknowledged after it.
func (s *Server) ConfirmRelease(group model.GroupName, version int64) {
	s.confirmMu.Lock()
	defer s.confirmMu.Unlock()
	s.config.World.Confirm(group, version)
}
