package view

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// maxKeptChanges is how many of the latest changes a holder can pass on.
const maxKeptChanges = 512

// Cache keeps the newest view of one process; it is safe for concurrent use.
type Cache struct {
	state atomic.Pointer[State]

	mu      sync.Mutex
	fresh   Freshness
	steward *Steward
	changes []Change
	changed chan struct{}
	reverts int
}

// NewCache returns a holder of the empty view.
func NewCache(boot model.BootID) *Cache {
	h := &Cache{steward: NewSteward(boot), changed: make(chan struct{})}
	h.state.Store(Empty())
	return h
}

// State returns the newest view that the process holds.
func (h *Cache) State() *State { return h.state.Load() }

// Changed returns a channel that is closed at the next change.
func (h *Cache) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Apply applies the changes that follow the held version and skips those that it holds already.
func (h *Cache) Apply(changes []Change) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, change := range changes {
		state := h.state.Load()
		if change.Version <= state.Version {
			continue
		}
		next, err := state.Apply(change)
		if err != nil {
			return err
		}
		h.retain(change)
		h.install(next)
	}
	return nil
}

// Install replaces the view by a whole newer one; an older one is left out.
func (h *Cache) Install(state *State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if state.Version <= h.state.Load().Version {
		return
	}
	h.changes = nil
	h.install(state)
}

func (h *Cache) install(next *State) {
	if !h.fresh.Advance(next.Version) {
		h.reverts++
		return
	}
	h.state.Store(next)
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *Cache) retain(change Change) {
	h.changes = append(h.changes, change)
	if len(h.changes) > maxKeptChanges {
		h.changes = append([]Change(nil), h.changes[len(h.changes)-maxKeptChanges/2:]...)
	}
}

// ChangesAfter returns the kept changes after a version; complete is false where older ones are gone.
func (h *Cache) ChangesAfter(version model.Version) (changes []Change, complete bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version >= h.state.Load().Version {
		return nil, true
	}
	for i, change := range h.changes {
		if change.Version == version+1 {
			return append([]Change(nil), h.changes[i:]...), true
		}
	}
	return nil, false
}

// Confirm takes a confirmation and returns whether it holds for the held version.
func (h *Cache) Confirm(c Confirmation) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fresh.Confirm(c)
}

// ConfirmFromStore takes a confirmation that came from the store itself.
func (h *Cache) ConfirmFromStore(c Confirmation) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.fresh.Confirm(c) {
		return false
	}
	h.steward.Confirm(c.At)
	return true
}

// Age returns how long ago the held version was known to be the newest, and whether it ever was.
func (h *Cache) Age(now time.Time) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fresh.Age(now)
}

// ConfirmedWithin tells whether the held version was the newest less than bound ago.
func (h *Cache) ConfirmedWithin(now time.Time, bound time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fresh.ConfirmedWithin(now, bound)
}

// Attest returns what this process says as a steward.
func (h *Cache) Attest(now time.Time) Attestation {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := h.state.Load()
	return h.steward.Attest(now, state.Version, state.FleetSettings().StewardTerm)
}

// Reverts returns how often a lower version was refused after it had been applied, which must stay zero.
func (h *Cache) Reverts() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reverts
}
