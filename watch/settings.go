package watch

import (
	"cmp"
	"slices"
	"sync"

	"github.com/crocusshore/crocusshore/model"
)

const (
	// maxLoggedNames bounds the skipped names in a log line.
	maxLoggedNames = 20
	// maxWaitingRows bounds the rows that wait for the decoder; the oldest are dropped.
	maxWaitingRows = 4
)

// settingsApplier holds the large settings rows that wait for the decoder, the newest last. An older one is decoded only if the newer ones
// are not valid.
type settingsApplier struct {
	mu      sync.Mutex
	running bool
	waiting []model.StoredRow
}

// applySettings puts a settings row into effect. A large one is decoded by another goroutine, so that the caller, which keeps the
// other tables current, does not wait for that; Cache.SetPolicy ignores rows that are no longer the newest.
func (w *Watcher) applySettings(page model.RowsPage) {
	for _, r := range page.Rows {
		switch {
		case r.Key != w.config.SettingsKey || r.Removed:
		case r.Version <= w.config.Cache.PolicyRowVersion(): // A full table repeats a row that did not change.
		case len(r.Value) < LargeRowBytes:
			w.applySettingsRow(r)
		case w.settings.put(r):
			go w.applyLargeSettings()
		}
	}
}

// applyLargeSettings decodes the waiting rows until none is left.
func (w *Watcher) applyLargeSettings() {
	for {
		r, ok := w.settings.take()
		if !ok {
			return
		}
		if w.applySettingsRow(r) {
			w.settings.dropUntil(r.Version)
		}
	}
}

// applySettingsRow puts a settings row into effect unless newer settings are, and reports whether it could be decoded.
func (w *Watcher) applySettingsRow(r model.StoredRow) bool {
	p, skipped, err := w.config.DecodePolicy(r.Value)
	if err != nil {
		w.config.Log.Error("cannot decode settings, the previous ones stay in effect", "version", r.Version, "error", err)
		return false
	}
	if w.config.Cache.SetPolicy(r.Version, p) {
		w.config.Log.Info("settings in effect", "policy", p.Version, "row-version", r.Version, "bytes", len(r.Value),
			"routes", len(p.Routes), "teams", len(p.Teams), "skipped", skipped[:min(len(skipped), maxLoggedNames)], "skipped-count", len(skipped))
	}
	return true
}

// put adds a row, and reports whether a goroutine has to be started for the decoder.
func (s *settingsApplier) put(r model.StoredRow) (start bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, _ := slices.BinarySearchFunc(s.waiting, r, func(a, b model.StoredRow) int { return cmp.Compare(a.Version, b.Version) })
	s.waiting = slices.Insert(s.waiting, at, r)
	if len(s.waiting) > maxWaitingRows {
		s.waiting = slices.Delete(s.waiting, 0, 1)
	}
	start = !s.running
	s.running = true
	return start
}

// take returns the newest row that waits; after false, the goroutine ends.
func (s *settingsApplier) take() (model.StoredRow, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := len(s.waiting) - 1
	if last < 0 {
		s.waiting, s.running = nil, false
		return model.StoredRow{}, false
	}
	r := s.waiting[last]
	s.waiting = slices.Delete(s.waiting, last, last+1)
	return r, true
}

// dropUntil drops the rows that are not newer than a version.
func (s *settingsApplier) dropUntil(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = slices.DeleteFunc(s.waiting, func(r model.StoredRow) bool { return r.Version <= version })
}
