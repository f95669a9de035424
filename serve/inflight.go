package serve

import (
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// inflight counts the unanswered statements of each group that may commit on its primary, so that a replacement of the primary can wait
// for their answers.
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

// inflightPollInterval is the interval at which AwaitInFlight checks for unanswered statements.
const inflightPollInterval = 5 * time.Millisecond

// AwaitInFlight waits until every statement of a group that may commit is answered, but no longer than wait. It reports whether all are
// answered.
func (s *Server) AwaitInFlight(group model.GroupName, wait time.Duration) bool {
	for waited := time.Duration(0); s.inflight.count(group) > 0; waited += inflightPollInterval {
		if waited >= wait {
			return false
		}
		time.Sleep(inflightPollInterval)
	}
	return true
}

// ConfirmRelease records that this VM no longer uses the primary of a group because of the intent in the given version of its primary record.
// Afterwards no commit under a lease from an older record is acknowledged.
func (s *Server) ConfirmRelease(group model.GroupName, version int64) {
	s.confirmMu.Lock()
	defer s.confirmMu.Unlock()
	s.config.Cache.Confirm(group, version)
}
