package view

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// maxKeptChanges bounds the changes that a cache keeps for other processes; above it, only the newest half stays.
const maxKeptChanges = 512

// Cache holds the newest version of the view that one process has received. It is safe for concurrent use.
type Cache struct {
	state atomic.Pointer[State]

	mu        sync.Mutex
	freshness Freshness
	steward   *Steward
	changes   []Change
	changed   chan struct{}
	reverts   int
}

// NewCache returns a cache of the empty view.
func NewCache(boot model.BootID) *Cache {
	c := &Cache{steward: NewSteward(boot), changed: make(chan struct{})}
	c.state.Store(Empty())
	return c
}

// State returns the newest view that the process holds.
func (c *Cache) State() *State { return c.state.Load() }

// Changed returns a channel that is closed when the next version is installed.
func (c *Cache) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Apply applies the changes that follow the held version and skips older ones. It stops at the first that cannot be applied.
func (c *Cache) Apply(changes []Change) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, change := range changes {
		state := c.state.Load()
		if change.Version <= state.Version {
			continue
		}
		next, err := state.Apply(change)
		if err != nil {
			return err
		}
		c.retain(change)
		c.install(next)
	}
	return nil
}

// Install replaces the view with a newer full state; one that is not newer is ignored.
func (c *Cache) Install(state *State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state.Version <= c.state.Load().Version {
		return
	}
	c.changes = nil
	c.install(state)
}

func (c *Cache) install(next *State) {
	if !c.freshness.Advance(next.Version) {
		c.reverts++
		return
	}
	c.state.Store(next)
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Cache) retain(change Change) {
	c.changes = append(c.changes, change)
	if len(c.changes) > maxKeptChanges {
		c.changes = append([]Change(nil), c.changes[len(c.changes)-maxKeptChanges/2:]...)
	}
}

// ChangesAfter returns the changes after a version; complete is false if some of them are no longer kept.
func (c *Cache) ChangesAfter(version model.Version) (changes []Change, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version >= c.state.Load().Version {
		return nil, true
	}
	for i, change := range c.changes {
		if change.Version == version+1 {
			return append([]Change(nil), c.changes[i:]...), true
		}
	}
	return nil, false
}

// Confirm records a confirmation and reports whether it covers the held version.
func (c *Cache) Confirm(confirmation Confirmation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.freshness.Confirm(confirmation)
}

// ConfirmFromStore does what Confirm does for a confirmation that this process read from the store itself. The attestations
// of the process as a steward rest on such confirmations too.
func (c *Cache) ConfirmFromStore(confirmation Confirmation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.freshness.Confirm(confirmation) {
		return false
	}
	c.steward.Confirm(confirmation.At)
	return true
}

// Age returns the time since the latest instant at which the held version was confirmed as the newest, and whether there is one.
func (c *Cache) Age(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.freshness.Age(now)
}

// ConfirmedWithin reports whether the held version was certainly the newest at an instant less than bound ago.
func (c *Cache) ConfirmedWithin(now time.Time, bound time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.freshness.ConfirmedWithin(now, bound)
}

// Attest returns the attestation of this process as a steward.
func (c *Cache) Attest(now time.Time) Attestation {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.state.Load()
	return c.steward.Attest(now, state.Version, state.FleetSettings().StewardTerm)
}

// Reverts returns how often an installation that would have lowered the version was refused, which must stay zero.
func (c *Cache) Reverts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reverts
}
