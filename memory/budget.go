package memory

import (
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// Budget is the memory that clients may take; it is safe for concurrent use.
type Budget struct {
	counts *Counts

	mu     sync.Mutex
	shares map[Use]*share
}

// NewBudget returns a budget of which nothing is used. It counts refusals in counts.
func NewBudget(limits Limits, counts *Counts) *Budget {
	b := &Budget{counts: counts, shares: map[Use]*share{}}
	for use, size := range limits.Bytes {
		b.shares[use] = newShare(size)
	}
	return b
}

// take takes bytes of the share of a use, and waits for them until a time at most. It reports whether it got them.
func (b *Budget) take(now, until time.Time, use Use, team model.TeamName, bytes int64) bool {
	b.mu.Lock()
	s := b.shares[use]
	if s.fits(team, bytes) {
		s.add(team, bytes)
		b.mu.Unlock()
		return true
	}
	if bytes > s.size || !now.Before(until) {
		b.mu.Unlock()
		return false
	}
	w := &waiter{team: team, bytes: bytes, granted: make(chan struct{})}
	s.waiting = append(s.waiting, w)
	b.mu.Unlock()
	return b.await(s, w, until.Sub(now))
}

// await waits until a request is granted, for at most longest, and reports whether it was.
func (b *Budget) await(s *share, w *waiter, longest time.Duration) bool {
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-w.granted:
		return true
	case <-timer.C:
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-w.granted: // Both came at once.
		return true
	default:
		s.forget(w)
		return false
	}
}

// give returns bytes to the share of a use, and grants requests that wait for them.
func (b *Budget) give(use Use, team model.TeamName, bytes int64) {
	if bytes == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.shares[use]
	s.add(team, -bytes)
	s.grant()
}

// Used returns the bytes that are used, by use.
func (b *Budget) Used() map[Use]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	used := make(map[Use]int64, len(b.shares))
	for use, s := range b.shares {
		used[use] = s.used
	}
	return used
}
