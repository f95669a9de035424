package soak

import (
	"sync"
	"time"
)

// interruption is whether a process or a path is out of contact, and until when it last was; it is safe for concurrent use.
type interruption struct {
	mu      sync.Mutex
	active  bool
	endedAt time.Time
}

// set begins or ends the interruption.
func (i *interruption) set(active bool, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.active && !active {
		i.endedAt = now
	}
	i.active = active
}

// last returns until when the last interruption lasted: now if it goes on, zero if there was none.
func (i *interruption) last(now time.Time) time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.active {
		return now
	}
	return i.endedAt
}
