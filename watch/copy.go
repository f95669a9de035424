package watch

import (
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

type (
	// TableUpdate is what a VM knows of a table of the store.
	TableUpdate struct {
		Table   model.TableName
		Version int64
		Rows    []model.StoredRow
		// Whole tells that Rows are all rows; otherwise they are those that changed after the version that was asked for.
		Whole bool
		// Age is how long ago the copy was known to be current.
		Age time.Duration
	}

	// cachedTable keeps the rows of a table as they were read.
	cachedTable struct {
		mu      sync.Mutex
		version int64
		// changedVersion is the version at which rows last changed, as far as is known.
		changedVersion int64
		rows           map[string]model.StoredRow
		// removed holds the rows that were removed after removedSince.
		removed      map[string]model.StoredRow
		removedSince int64
		currentAt    time.Time
	}
)

// maxRemovedRows bounds the removed rows that are remembered; a copy that is older than they reach is sent whole.
const maxRemovedRows = 500

// merge applies a page and returns whether it was new.
func (t *cachedTable) merge(page model.RowsPage, full bool, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if page.Version < t.version {
		return false
	}
	if full || t.rows == nil {
		t.rows = make(map[string]model.StoredRow, len(page.Rows))
		t.removed, t.removedSince = map[string]model.StoredRow{}, page.Version
	}
	for _, r := range page.Rows {
		if r.Removed {
			delete(t.rows, r.Key)
			t.removed[r.Key] = r
		} else {
			delete(t.removed, r.Key)
			t.rows[r.Key] = r
		}
	}
	if len(t.removed) > maxRemovedRows {
		t.removed, t.removedSince = map[string]model.StoredRow{}, page.Version
	}
	if full || len(page.Rows) > 0 {
		t.changedVersion = page.Version
	}
	t.version = page.Version
	if at.After(t.currentAt) {
		t.currentAt = at
	}
	return true
}

// updateSince returns the copy with the rows that changed after a version, or all of them where a removal may be forgotten.
func (t *cachedTable) updateSince(now time.Time, table model.TableName, version int64) TableUpdate {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := TableUpdate{Table: table, Version: t.version, Age: now.Sub(t.currentAt)}
	if t.changedVersion <= version {
		return c
	}
	c.Whole = version < t.removedSince
	for _, r := range t.rows {
		if c.Whole || r.Version > version {
			c.Rows = append(c.Rows, r)
		}
	}
	if c.Whole {
		return c
	}
	for _, r := range t.removed {
		if r.Version > version {
			c.Rows = append(c.Rows, r)
		}
	}
	return c
}

func (t *cachedTable) changedAfter(version int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changedVersion > version
}

func (t *cachedTable) versionAndTime() (version int64, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version, t.currentAt
}

// isFresherThan tells whether the copy is known and was current less than an age ago.
func (t *cachedTable) isFresherThan(now time.Time, age time.Duration) bool {
	version, at := t.versionAndTime()
	return version > 0 && now.Sub(at) < age
}
