package watch

import (
	"slices"
	"time"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/state"
)

// Apply applies a page of a table to the cached table and the cached state; at is an instant at which the page was current.
func (w *Watcher) Apply(table model.TableName, page model.RowsPage, full bool, at time.Time) {
	cached := w.cached[table]
	if cached == nil {
		return
	}
	before, _ := cached.versionAndTime()
	if !w.merge(cached, table, page, full, at) {
		return
	}
	if before > 0 && model.EraOf(page.Version) > model.EraOf(before) {
		defer w.recordEra(table, before, page.Version)
	}
	defer w.notifyChanged(len(page.Rows) > 0 || full)
	switch table {
	case w.config.Settings:
		w.applySettings(page)
	case w.config.Instances:
		w.applyInstances(page, full, at)
	default:
		if err := w.config.Cache.ApplyRows(page.Version, full, page.Rows, at); err != nil {
			w.config.Log.Error("cannot decode rows", "error", err)
		}
	}
}

// recordEra logs that the store came back from an older copy, with what of the program's own table stays in use until it is confirmed.
func (w *Watcher) recordEra(table model.TableName, before, version int64) {
	if table != state.Table {
		return
	}
	w.config.Metrics.Counter("store_eras").Inc(1)
	s := w.config.Cache.Snapshot()
	var kept, unknown []model.GroupName
	for group := range s.Unconfirmed {
		if _, known := s.Primaries[group]; known {
			kept = append(kept, group)
		} else {
			unknown = append(unknown, group)
		}
	}
	slices.Sort(kept)
	slices.Sort(unknown)
	w.config.Log.Warn("the store came back from an older copy", "era", model.EraOf(version), "count-before", model.CountOf(before), "count", model.CountOf(version),
		"primaries-kept", kept, "primaries-unknown", unknown, "vms", len(s.VMs), "fence", s.Coordinator.Fence)
}

func (w *Watcher) notifyChanged(changed bool) {
	if !changed {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Watcher) applyInstances(page model.RowsPage, full bool, at time.Time) {
	known := w.config.Cache.Snapshot().Instances
	var present []model.Instance
	var gone []model.InstanceName
	for _, r := range lastOfEachKey(page.Rows) {
		if r.Removed {
			gone = append(gone, model.InstanceName(r.Key))
			w.config.Log.Info("instance registration removed", "instance", r.Key, "row-version", page.Version)
			continue
		}
		i, err := w.config.DecodeInstance(r.Key, r.Value)
		if err != nil {
			// Otherwise the instance would stay in use as described by an older version of its row.
			gone = append(gone, model.InstanceName(r.Key))
			w.config.Log.Warn("cannot decode instance registration", "instance", r.Key, "error", err)
			continue
		}
		present = append(present, i)
		if known[i.Name] == i {
			continue // A full table repeats rows that did not change.
		}
		w.config.Log.Info("instance registered", "instance", i.Name, "group", i.Group, "domain", i.Domain, "role", i.Role,
			"leaving", i.Leaving, "row-version", r.Version)
	}
	for _, name := range w.config.Cache.ApplyInstances(page.Version, full, present, gone, at) {
		w.removeExpired(name)
	}
}

// lastOfEachKey returns the last row of each key. After an outage of the store, one page of changes holds the removal of a registration that expired and
// the one that replaced it.
func lastOfEachKey(rows []model.StoredRow) []model.StoredRow {
	last := make(map[string]int, len(rows))
	for at, r := range rows {
		last[r.Key] = at
	}
	if len(last) == len(rows) {
		return rows
	}
	newest := make([]model.StoredRow, 0, len(last))
	for at, r := range rows {
		if last[r.Key] == at {
			newest = append(newest, r)
		}
	}
	return newest
}

// removeExpired removes an instance, as soon as it certainly is gone, unless it registered again since its registration expired.
func (w *Watcher) removeExpired(name model.InstanceName) {
	now := clock.Now()
	if wait := w.config.Cache.AbsenceWait(now, name); wait > 0 {
		time.AfterFunc(wait, func() { w.removeExpired(name) })
		return
	}
	if w.config.Cache.RemoveInstance(now, name) {
		w.config.Log.Info("instance removed", "instance", name)
		w.config.OnRemoved(name)
	}
}
