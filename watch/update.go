package watch

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

type (
	// TableUpdate is a version of a cached table, with all rows or those that changed.
	TableUpdate struct {
		Table   model.TableName
		Version int64
		Rows    []model.StoredRow
		// Whole reports that Rows are all rows; otherwise they are those that changed after the requested version.
		Whole bool
		// Age is the staleness: the time since the table was last known to be current.
		Age time.Duration
		// Encoded are further rows, which are large and were requested in an encoding.
		Encoded []EncodedRow `json:",omitempty"`
	}

	// cachedTable is a table of the store as it was last read, from the store or from a peer; it is safe for concurrent use.
	cachedTable struct {
		mu      sync.Mutex
		version int64
		// changedVersion is the newest version that came with rows.
		changedVersion int64
		rows           map[string]model.StoredRow
		// removed holds the rows that were removed after removedSince.
		removed      map[string]model.StoredRow
		removedSince int64
		// currentAt is the newest instant at which the table was known to be current.
		currentAt time.Time
		// large holds the rows of at least LargeRowBytes, which rows holds as well.
		large map[string]*largeRow
	}
)

// maxRemovedRows bounds the removed rows that are kept. A VM whose version is older than removedSince gets all rows.
const maxRemovedRows = 500

// merge applies a page, which holds all rows if full is true, and reports whether it did; it ignores a version older than the cached one.
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
		t.recordLarge(r, at)
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
	t.pruneLarge(at)
	if full || len(page.Rows) > 0 {
		t.changedVersion = page.Version
	}
	t.version = page.Version
	if at.After(t.currentAt) {
		t.currentAt = at
	}
	return true
}

// recordLarge keeps the versions of a row that is large.
func (t *cachedTable) recordLarge(r model.StoredRow, at time.Time) {
	known := t.large[r.Key]
	switch {
	case r.Removed || len(r.Value) < LargeRowBytes:
		delete(t.large, r.Key)
	case known != nil:
		t.large[r.Key] = known.next(r, at)
	default:
		if t.large == nil {
			t.large = map[string]*largeRow{}
		}
		t.large[r.Key] = newLargeRow(r)
	}
}

// pruneLarge drops the large rows that the table no longer has, and earlier versions after their retention.
func (t *cachedTable) pruneLarge(now time.Time) {
	for key, large := range t.large {
		if _, there := t.rows[key]; there {
			large.prune(now)
		} else {
			delete(t.large, key)
		}
	}
}

// updateSince returns the rows that changed after a version, or all rows if removals since that version may have been dropped; the
// caller holds the lock.
func (t *cachedTable) updateSince(now time.Time, table model.TableName, version int64) TableUpdate {
	update := TableUpdate{Table: table, Version: t.version, Age: now.Sub(t.currentAt)}
	if t.changedVersion <= version {
		return update
	}
	update.Whole = version < t.removedSince
	for _, r := range t.rows {
		if update.Whole || r.Version > version {
			update.Rows = append(update.Rows, r)
		}
	}
	if update.Whole {
		return update
	}
	for _, r := range t.removed {
		if r.Version > version {
			update.Rows = append(update.Rows, r)
		}
	}
	return update
}

// keys returns the cached version and the keys of the rows at that version, in order.
func (t *cachedTable) keys() (version int64, keys []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version, slices.Sorted(maps.Keys(t.rows))
}

func (t *cachedTable) changedAfter(version int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changedVersion > version
}

// versionAndTime returns the cached version, or 0 if the table was never read, and the newest instant at which it was known to be current.
func (t *cachedTable) versionAndTime() (version int64, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version, t.currentAt
}

// isFresherThan reports whether the table was ever read and was current less than age ago.
func (t *cachedTable) isFresherThan(now time.Time, age time.Duration) bool {
	version, at := t.versionAndTime()
	return version > 0 && now.Sub(at) < age
}
