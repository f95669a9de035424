//go:build review2

package main

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// store stands in for the platform's store; it implements model.RowStore.
type store struct {
	mu      sync.Mutex
	changed *sync.Cond
	started time.Time
	version int64
	rows    map[model.TableName]map[string]model.StoredRow
	history []model.StoredRow
	away    bool
	era     int
	// calls counts the calls of the system.
	calls int
}

// copyOfStore is a copy of the store's rows at a version.
type copyOfStore struct {
	version int64
	rows    map[model.TableName]map[string]model.StoredRow
	takenAt time.Time
}

func newStore() *store {
	s := &store{started: time.Now(), rows: map[model.TableName]map[string]model.StoredRow{}}
	s.changed = sync.NewCond(&s.mu)
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			s.changed.Broadcast()
		}
	}()
	return s
}

func (s *store) takeCopy() copyOfStore {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := copyOfStore{version: s.version, rows: map[model.TableName]map[string]model.StoredRow{}, takenAt: time.Now()}
	for table, rows := range s.rows {
		c.rows[table] = maps.Clone(rows)
	}
	return c
}

// restore brings the store back from a copy: versions go back and are given out again, and Store-Era rises by one.
func (s *store) restore(c copyOfStore) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.rows, s.away = c.version, c.rows, false
	s.era++
	s.history = slices.DeleteFunc(s.history, func(r model.StoredRow) bool { return r.Version > c.version })
	s.changed.Broadcast()
}

func (s *store) setAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.changed.Broadcast()
}

func (s *store) put(table model.TableName, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return
	}
	s.version++
	s.set(model.StoredRow{Table: table, Key: key, Value: value, Version: s.version})
	s.changed.Broadcast()
}

func (s *store) row(table model.TableName, key string) model.StoredRow {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[table][key]
}

func (s *store) set(r model.StoredRow) {
	if s.rows[r.Table] == nil {
		s.rows[r.Table] = map[string]model.StoredRow{}
	}
	if r.Removed {
		delete(s.rows[r.Table], r.Key)
	} else {
		s.rows[r.Table][r.Key] = r
	}
	s.history = append(s.history, r)
}

func (s *store) page() model.RowsPage {
	return model.RowsPage{Version: s.version, StoreTime: time.Since(s.started)}
}

// Rows returns all rows of a table.
func (s *store) Rows(_ context.Context, table model.TableName) (model.RowsPage, error) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.away {
		return model.RowsPage{}, model.ErrStoreUnavailable
	}
	page := s.page()
	for _, r := range s.rows[table] {
		page.Rows = append(page.Rows, r)
	}
	slices.SortFunc(page.Rows, func(a, b model.StoredRow) int { return strings.Compare(a.Key, b.Key) })
	return page, nil
}

// Feed returns the changed rows of a table after a version.
func (s *store) Feed(ctx context.Context, table model.TableName, after int64, wait time.Duration) (model.RowsPage, error) {
	time.Sleep(4 * time.Millisecond)
	until := time.Now().Add(wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	era := s.era
	for {
		switch {
		case s.away || s.era != era || ctx.Err() != nil:
			return model.RowsPage{}, model.ErrStoreUnavailable
		case after > s.version:
			return model.RowsPage{}, model.ErrHistoryUnavailable
		}
		page := s.page()
		for _, r := range s.history {
			if r.Table == table && r.Version > after {
				page.Rows = append(page.Rows, r)
			}
		}
		if len(page.Rows) > 0 || !time.Now().Before(until) {
			return page, nil
		}
		s.changed.Wait()
	}
}

// Apply makes a change if its conditions hold.
func (s *store) Apply(_ context.Context, change model.Change) (int64, error) {
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.away {
		return 0, model.ErrStoreUnavailable
	}
	for _, e := range change.Expected {
		if s.rows[e.Table][e.Key].Version != e.Version {
			return 0, model.ErrConflict
		}
	}
	s.version++
	for _, r := range change.Writes {
		s.set(model.StoredRow{Table: r.Table, Key: r.Key, Value: r.Value, Version: s.version})
	}
	for _, r := range change.Deletes {
		s.set(model.StoredRow{Table: r.Table, Key: r.Key, Version: s.version, Removed: true})
	}
	s.changed.Broadcast()
	return s.version, nil
}

// withEra adds the header Store-Era to all answers.
func (s *store) withEra(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		era := s.era
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.Itoa(era))
		next.ServeHTTP(w, r)
	})
}
