package watch

import (
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

type (
	// Copy is what a VM knows of a table of the store.
	Copy struct {
		Table   model.TableName
		Version int64
		Rows    []model.StoredRow
		// Whole tells that Rows are all rows; otherwise nothing changed and there are none.
		Whole bool
		// Age is how long ago the copy was known to be current.
		Age time.Duration
	}

	// tableCopy keeps the rows of a table as they were read.
	tableCopy struct {
		mu      sync.Mutex
		version int64
		// changed is the version at which rows last changed, as far as is known.
		changed int64
		rows    map[string]model.StoredRow
		at      time.Time
	}
)

// merge applies a page and returns whether it was new.
func (t *tableCopy) merge(page model.RowsPage, whole bool, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if page.Version < t.version {
		return false
	}
	if whole || t.rows == nil {
		t.rows = make(map[string]model.StoredRow, len(page.Rows))
	}
	for _, r := range page.Rows {
		if r.Removed {
			delete(t.rows, r.Key)
		} else {
			t.rows[r.Key] = r
		}
	}
	if whole || len(page.Rows) > 0 {
		t.changed = page.Version
	}
	t.version = page.Version
	if at.After(t.at) {
		t.at = at
	}
	return true
}

// since returns the copy, with all rows where they changed after a version.
func (t *tableCopy) since(now time.Time, table model.TableName, version int64) Copy {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := Copy{Table: table, Version: t.version, Age: now.Sub(t.at), Whole: t.changed > version}
	if !c.Whole {
		return c
	}
	c.Rows = make([]model.StoredRow, 0, len(t.rows))
	for _, r := range t.rows {
		c.Rows = append(c.Rows, r)
	}
	return c
}

func (t *tableCopy) changedAfter(version int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed > version
}

func (t *tableCopy) state() (version int64, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version, t.at
}

// youngerThan tells whether the copy is known and was current less than an age ago.
func (t *tableCopy) youngerThan(now time.Time, age time.Duration) bool {
	version, at := t.state()
	return version > 0 && now.Sub(at) < age
}
