package state

import "github.com/crocusshore/crocusshore/evac"

// SetEvacuated puts into effect the evacuated failure domains in a reading of the settings table at a version, and returns what changed. It ignores a
// version older than the last one.
func (c *Cache) SetEvacuated(version int64, reading evac.Reading) evac.Changes {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version < c.evacuatedVersion {
		return evac.Changes{}
	}
	c.evacuatedVersion = version
	next := *c.snapshot.Load() // The maps do not change once they are published.
	evacuated, changes := next.Evacuated.Update(reading)
	if len(changes.Began) == 0 && len(changes.Ended) == 0 {
		return changes
	}
	next.Evacuated = evacuated
	c.snapshot.Store(&next)
	return changes
}
