package watch

import (
	"time"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/evac"
	"github.com/crocusshore/crocusshore/model"
)

// merge merges a page into a cached table and reports whether it did. For the settings table, it also puts the evacuations into effect. Since that precedes
// the settings, which every statement needs, no statement runs in a failure domain whose evacuation is not known yet.
func (w *Watcher) merge(cached *cachedTable, table model.TableName, page model.RowsPage, full bool, at time.Time) bool {
	if table != w.config.Settings {
		return cached.merge(page, full, at)
	}
	w.evacuationMu.Lock()
	defer w.evacuationMu.Unlock()
	_, currentBefore := cached.versionAndTime()
	if !cached.merge(page, full, at) {
		return false
	}
	if full || len(page.Rows) > 0 {
		w.applyEvacuations(cached, currentBefore)
	}
	return true
}

// applyEvacuations puts the evacuations into effect that the rows of the settings table request; currentBefore is
// the newest instant at which the table was known to be current before the last change. All cached rows are used, so that an evacuation ends both when
// the store reports the removal of its row and when a full table lacks the row.
func (w *Watcher) applyEvacuations(settings *cachedTable, currentBefore time.Time) {
	if w.config.DecodeEvacuation == nil {
		return
	}
	now := clock.Now()
	version, keys := settings.keys()
	reading := evac.Reading{At: now, AbsentAt: currentBefore}
	for _, key := range keys {
		if domain, ok := w.config.DecodeEvacuation(key); ok {
			reading.Present = append(reading.Present, domain)
		}
	}
	before := w.config.Cache.Snapshot().Evacuated
	changes := w.config.Cache.SetEvacuated(version, reading)
	w.logEvacuations(now, version, before, changes)
}

func (w *Watcher) logEvacuations(now time.Time, version int64, before evac.Domains, changes evac.Changes) {
	for _, domain := range changes.Began {
		w.config.Log.Info("evacuation of a failure domain began", "domain", domain, "instances", w.countInstances(domain), "version", version)
	}
	for _, domain := range changes.Ended {
		w.config.Log.Info("evacuation of a failure domain ended", "domain", domain, "instances", w.countInstances(domain), "version", version,
			"after", now.Sub(before[domain].LearnedAt).Round(time.Millisecond))
	}
}

// countInstances returns how many instances a failure domain has; it is 0 for one that is not known.
func (w *Watcher) countInstances(domain model.Domain) int {
	count := 0
	for _, i := range w.config.Cache.Snapshot().Instances {
		if i.Domain == domain {
			count++
		}
	}
	return count
}
