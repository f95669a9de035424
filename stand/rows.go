package stand

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// maxHistory bounds the changed rows that are kept for the feed.
const maxHistory = 10_000

type (
	// Rows stands in for the platform's store of rows with versions and a change feed; it is safe for concurrent use.
	Rows struct {
		mu      sync.Mutex
		changed *sync.Cond
		started time.Time
		// version is the newest version, which names the era.
		version int64
		rows    map[model.TableName]map[string]model.StoredRow
		history []model.StoredRow
		// droppedVersion is the version up to which the history was dropped.
		droppedVersion int64
		faults         RowsFaults
		// calls counts the calls of each client.
		calls map[string]int
	}

	// RowsFaults describes the faults of a store; the zero value has none.
	RowsFaults struct {
		// Unavailable makes the store unavailable for all clients. UnavailableFor does so for each client whose name it maps to true.
		Unavailable    bool
		UnavailableFor map[string]bool
		// LostAnswerShare is the share of the changes that are made but answered with model.ErrUncertain.
		LostAnswerShare float64
		// Latency delays each call of a client.
		Latency time.Duration
	}

	// RowsClient is the access of one client to the store.
	RowsClient struct {
		rows *Rows
		name string
	}
)

// NewRows returns an empty store.
func NewRows() *Rows {
	r := &Rows{started: time.Now(), rows: map[model.TableName]map[string]model.StoredRow{}, calls: map[string]int{}}
	r.changed = sync.NewCond(&r.mu)
	return r
}

// Client returns the access of a client; RowsFaults.UnavailableFor refers to its name.
func (r *Rows) Client(name string) *RowsClient { return &RowsClient{rows: r, name: name} }

// Calls returns how many calls a client has made.
func (r *Rows) Calls(client string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls[client]
}

// SetFaults replaces the faults of the store.
func (r *Rows) SetFaults(faults RowsFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = faults
	r.changed.Broadcast()
}

// RowsCopy is a copy of a store as of an instant.
type RowsCopy struct {
	version int64
	rows    map[model.TableName]map[string]model.StoredRow
}

// Copy returns a copy of the store.
func (r *Rows) Copy() RowsCopy {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := RowsCopy{version: r.version, rows: map[model.TableName]map[string]model.StoredRow{}}
	for table, rows := range r.rows {
		c.rows[table] = maps.Clone(rows)
	}
	return c
}

// Restore brings the store back from a copy, in a new era: what was written since is gone, and the counter of versions goes back. The tables in keep stay as they
// are, as if their writers had written everything again.
func (r *Rows) Restore(from RowsCopy, keep ...model.TableName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	era := model.EraOf(r.version) + 1
	kept := map[model.TableName]map[string]model.StoredRow{}
	for _, table := range keep {
		kept[table] = r.rows[table]
	}
	r.version = model.VersionIn(era, model.CountOf(from.version))
	r.rows = map[model.TableName]map[string]model.StoredRow{}
	for table, rows := range from.rows {
		r.rows[table] = map[string]model.StoredRow{}
		for key, row := range rows {
			row.Version = model.VersionIn(era, model.CountOf(row.Version))
			r.rows[table][key] = row
		}
	}
	r.history, r.droppedVersion = nil, r.version
	for table, rows := range kept {
		r.rows[table] = map[string]model.StoredRow{}
		for _, row := range rows {
			r.version++
			row.Version = r.version
			r.put(row)
		}
	}
	r.changed.Broadcast()
}

// Era returns the era of the store.
func (r *Rows) Era() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return model.EraOf(r.version)
}

// Era returns the era of the store.
func (c *RowsClient) Era() int64 { return c.rows.Era() }

// DropHistory drops the history, so that a feed has to start again from the full table.
func (r *Rows) DropHistory() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history, r.droppedVersion = nil, r.version
	r.changed.Broadcast()
}

// Put writes a row without regard to faults, as the operator or an instance would.
func (r *Rows) Put(table model.TableName, key string, value []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	r.put(model.StoredRow{Table: table, Key: key, Value: value, Version: r.version})
	r.changed.Broadcast()
}

// Delete removes a row without regard to faults, as an instance would.
func (r *Rows) Delete(table model.TableName, key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	r.put(model.StoredRow{Table: table, Key: key, Version: r.version, Removed: true})
	r.changed.Broadcast()
}

// Row returns a row; it is zero if there is none.
func (r *Rows) Row(table model.TableName, key string) model.StoredRow {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rows[table][key]
}

func (r *Rows) put(row model.StoredRow) {
	if r.rows[row.Table] == nil {
		r.rows[row.Table] = map[string]model.StoredRow{}
	}
	if row.Removed {
		delete(r.rows[row.Table], row.Key)
	} else {
		r.rows[row.Table][row.Key] = row
	}
	r.history = append(r.history, row)
	if len(r.history) > maxHistory {
		r.droppedVersion = r.history[0].Version
		r.history = r.history[1:]
	}
}

func (r *Rows) unavailable(name string) bool {
	return r.faults.Unavailable || r.faults.UnavailableFor[name]
}

// beginCall counts and delays a call, and returns model.ErrStoreUnavailable if it is not served.
func (c *RowsClient) beginCall(ctx context.Context) error {
	c.rows.mu.Lock()
	latency := c.rows.faults.Latency
	c.rows.calls[c.name]++
	c.rows.mu.Unlock()
	select {
	case <-time.After(latency):
	case <-ctx.Done():
		return model.ErrStoreUnavailable
	}
	c.rows.mu.Lock()
	defer c.rows.mu.Unlock()
	if c.rows.unavailable(c.name) {
		return model.ErrStoreUnavailable
	}
	return nil
}

// Rows returns all rows of a table.
func (c *RowsClient) Rows(ctx context.Context, table model.TableName) (model.RowsPage, error) {
	if err := c.beginCall(ctx); err != nil {
		return model.RowsPage{}, err
	}
	c.rows.mu.Lock()
	defer c.rows.mu.Unlock()
	page := c.rows.page()
	for _, row := range c.rows.rows[table] {
		page.Rows = append(page.Rows, row)
	}
	slices.SortFunc(page.Rows, func(a, b model.StoredRow) int { return strings.Compare(a.Key, b.Key) })
	return page, nil
}

func (r *Rows) page() model.RowsPage {
	return model.RowsPage{Version: r.version, StoreTime: time.Since(r.started)}
}

// Feed returns the changes of a table after a version, once there are any; the page is empty if there are none before the wait ends. It
// returns model.ErrHistoryUnavailable if changes after the version may have been dropped.
func (c *RowsClient) Feed(ctx context.Context, table model.TableName, after int64, wait time.Duration) (model.RowsPage, error) {
	if err := c.beginCall(ctx); err != nil {
		return model.RowsPage{}, err
	}
	until := time.Now().Add(wait)
	wake := time.AfterFunc(wait, c.rows.changed.Broadcast)
	defer wake.Stop()
	stop := context.AfterFunc(ctx, c.rows.changed.Broadcast)
	defer stop()
	c.rows.mu.Lock()
	defer c.rows.mu.Unlock()
	for {
		if c.rows.unavailable(c.name) || ctx.Err() != nil {
			return model.RowsPage{}, model.ErrStoreUnavailable
		}
		if after < c.rows.droppedVersion || after > c.rows.version {
			return model.RowsPage{}, model.ErrHistoryUnavailable
		}
		page := c.rows.page()
		for _, row := range c.rows.history {
			if row.Table == table && row.Version > after {
				page.Rows = append(page.Rows, row)
			}
		}
		if len(page.Rows) > 0 || !time.Now().Before(until) {
			return page, nil
		}
		c.rows.changed.Wait()
	}
}

// Apply makes a change and returns its version. It returns model.ErrConflict if an expected version differs, and model.ErrUncertain if the
// answer is lost.
func (c *RowsClient) Apply(ctx context.Context, change model.Change) (int64, error) {
	if err := c.beginCall(ctx); err != nil {
		return 0, err
	}
	r := c.rows
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, expected := range change.Expected {
		if r.rows[expected.Table][expected.Key].Version != expected.Version {
			return 0, model.ErrConflict
		}
	}
	r.version++
	for _, row := range change.Writes {
		r.put(model.StoredRow{Table: row.Table, Key: row.Key, Value: row.Value, Version: r.version})
	}
	for _, row := range change.Deletes {
		r.put(model.StoredRow{Table: row.Table, Key: row.Key, Version: r.version, Removed: true})
	}
	r.changed.Broadcast()
	if rand.Float64() < r.faults.LostAnswerShare {
		return 0, model.ErrUncertain
	}
	return r.version, nil
}
