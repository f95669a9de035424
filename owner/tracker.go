package owner

import (
	"context"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

const (
	// statusWait is the time that a status request asks the instance to wait for a position.
	statusWait = 200 * time.Millisecond
	// statusTimeout bounds a status request, including statusWait.
	statusTimeout = 600 * time.Millisecond
	// statusRetryPause is the pause after a status request that failed or whose answer satisfied no wait.
	statusRetryPause = 20 * time.Millisecond
)

// Tracker polls the log position that one instance holds. It polls only while anyone waits for a position, and sends one status request
// at a time.
type Tracker struct {
	upstream model.Upstream

	mu        sync.Mutex
	status    model.UpstreamStatus
	hasStatus bool
	waiting   map[*positionWait]bool
	polling   bool
}

// positionWait is one wait for a log position; done is closed when the instance holds it.
type positionWait struct {
	mark model.Mark
	done chan struct{}
}

// NewTracker returns a tracker of an instance.
func NewTracker(upstream model.Upstream) *Tracker {
	return &Tracker{upstream: upstream, waiting: map[*positionWait]bool{}}
}

// Watch returns a channel that is closed once the instance serves the term of the mark and holds its position, and a function that
// ends the wait.
func (t *Tracker) Watch(mark model.Mark) (held <-chan struct{}, cancel func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wait := &positionWait{mark: mark, done: make(chan struct{})}
	if t.hasStatus && hasMark(t.status, mark) {
		close(wait.done)
		return wait.done, func() {}
	}
	t.waiting[wait] = true
	if !t.polling {
		t.polling = true
		go t.poll()
	}
	return wait.done, func() { t.cancel(wait) }
}

func (t *Tracker) cancel(wait *positionWait) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, wait)
}

// poll requests the status of the instance until nobody waits any more.
func (t *Tracker) poll() {
	for {
		lowest, found := t.minAwaitedOrStop()
		if !found {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
		status, err := t.upstream.Status(ctx, lowest, statusWait)
		cancel()
		if err != nil {
			time.Sleep(statusRetryPause)
			continue
		}
		if !t.observe(status) {
			time.Sleep(statusRetryPause)
		}
	}
}

// minAwaitedOrStop returns the lowest position that is waited for. If there is none, it marks the polling as ended and returns false.
func (t *Tracker) minAwaitedOrStop() (model.Position, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiting) == 0 {
		t.polling = false
		return 0, false
	}
	first := true
	var lowest model.Position
	for wait := range t.waiting {
		if first || wait.mark.Position < lowest {
			lowest, first = wait.mark.Position, false
		}
	}
	return lowest, true
}

// observe records a status, ends the waits that it satisfies, and reports whether there were any.
func (t *Tracker) observe(status model.UpstreamStatus) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.status, t.hasStatus = status, true
	released := false
	for wait := range t.waiting {
		if hasMark(status, wait.mark) {
			close(wait.done)
			delete(t.waiting, wait)
			released = true
		}
	}
	return released
}

// hasMark reports whether an instance with the given status serves the term of the mark, is not fenced, and holds its position.
func hasMark(status model.UpstreamStatus, mark model.Mark) bool {
	return status.Term == mark.Term && !status.Fenced && status.Held >= mark.Position
}
