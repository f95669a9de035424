package serve

import (
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// pollRounds limits the rounds of requests about each group: one at a time, with a pause in between.
type pollRounds struct {
	mu sync.Mutex
	// notBefore is when the next round of a group may begin; it is zero while one is in progress.
	notBefore map[model.GroupName]time.Time
}

func newPollRounds() *pollRounds { return &pollRounds{notBefore: map[model.GroupName]time.Time{}} }

// tryBegin reports whether a round of a group may begin now; if so, the round is in progress until end is called.
func (p *pollRounds) tryBegin(now time.Time, group model.GroupName) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, known := p.notBefore[group]
	if known && (at.IsZero() || now.Before(at)) {
		return false
	}
	p.notBefore[group] = time.Time{}
	return true
}

// end ends the round of a group; the next one may begin after the pause.
func (p *pollRounds) end(now time.Time, group model.GroupName, pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notBefore[group] = now.Add(pause)
}
