package serve

import (
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// pollRounds lets one round of questions for a group run at a time, with a pause between two.
type pollRounds struct {
	mu sync.Mutex
	// notBefore is when the next round of a group may begin; it is zero while one runs.
	notBefore map[model.GroupName]time.Time
}

func newPollRounds() *pollRounds { return &pollRounds{notBefore: map[model.GroupName]time.Time{}} }

// tryBegin tells whether a round of a group may begin now.
func (r *pollRounds) tryBegin(now time.Time, group model.GroupName) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, known := r.notBefore[group]
	if known && (at.IsZero() || now.Before(at)) {
		return false
	}
	r.notBefore[group] = time.Time{}
	return true
}

// end ends the round of a group; the next one begins after a pause.
func (r *pollRounds) end(now time.Time, group model.GroupName, pause time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notBefore[group] = now.Add(pause)
}
