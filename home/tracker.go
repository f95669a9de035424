package home

import (
	"context"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

const (
	statusWait       = 200 * time.Millisecond
	statusTimeout    = 600 * time.Millisecond
	statusRetryPause = 20 * time.Millisecond
)

// Tracker follows what one instance holds while someone waits for it, with one question open at a time.
type Tracker struct {
	upstream model.Upstream

	mu        sync.Mutex
	status    model.UpstreamStatus
	hasStatus bool
	waiting   map[*positionWait]bool
	polling   bool
}

type positionWait struct {
	mark model.Mark
	done chan struct{}
}

// NewTracker returns a tracker of an instance.
func NewTracker(upstream model.Upstream) *Tracker {
	return &Tracker{upstream: upstream, waiting: map[*positionWait]bool{}}
}

// Watch returns a channel that is closed once the instance holds a mark in its term, and a function that ends the wait.
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

func (t *Tracker) poll() {
	for {
		least, any := t.minAwaited()
		if !any {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
		status, err := t.upstream.Status(ctx, least, statusWait)
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

// minAwaited returns the lowest position that anyone waits for; with no one left the polling ends.
func (t *Tracker) minAwaited() (model.Position, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiting) == 0 {
		t.polling = false
		return 0, false
	}
	first := true
	var least model.Position
	for wait := range t.waiting {
		if first || wait.mark.Position < least {
			least, first = wait.mark.Position, false
		}
	}
	return least, true
}

// observe releases whoever the status satisfies and tells whether there was one.
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

// hasMark tells whether an instance of the same term holds a mark.
func hasMark(status model.UpstreamStatus, mark model.Mark) bool {
	return status.Term == mark.Term && !status.Fenced && status.Held >= mark.Position
}
