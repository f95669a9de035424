package watch

import (
	"time"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
)

// pendingRow is a large row that is to be sent in an encoding.
type pendingRow struct {
	reference RowReference
	encoding  *encoding
}

// Updates returns the cached tables, with all rows that changed after the given versions as they are.
func (w *Watcher) Updates(now time.Time, versions map[model.TableName]int64) []TableUpdate {
	return w.UpdatesFor(now, UpdateRequest{Versions: versions})
}

// UpdatesFor returns the cached tables for a VM, with the rows that changed after the versions that it has. Large rows are encoded as it
// understands.
func (w *Watcher) UpdatesFor(now time.Time, request UpdateRequest) []TableUpdate {
	all := make([]TableUpdate, 0, len(w.cached))
	for _, table := range w.tables() {
		cached := w.cached[table]
		if version, _ := cached.versionAndTime(); version == 0 {
			continue
		}
		update, pending := cached.encodedUpdate(now, table, request)
		for _, p := range pending {
			update.Encoded = append(update.Encoded, w.encodeRow(p, request.understands(EncodingDeferred)))
		}
		all = append(all, update)
	}
	return all
}

// encodeRow returns an encoded row, without the encoding if it is deferred. The table is not locked while an encoding is computed.
func (w *Watcher) encodeRow(p pendingRow, deferrable bool) EncodedRow {
	encoded := EncodedRow{RowReference: p.reference, Data: w.encodingOf(p)}
	encoded.Bytes = len(encoded.Data)
	if deferrable && encoded.Bytes > maxInlineBytes {
		encoded.Data = nil
	}
	return encoded
}

// encodingOf returns an encoding, and logs and counts it if this call computed it.
func (w *Watcher) encodingOf(p pendingRow) []byte {
	start := clock.Now()
	data, computed := p.encoding.bytes()
	if computed {
		w.config.Metrics.Tagged(map[string]string{"encoding": string(p.reference.Encoding)}).Counter("row_encodings").Inc(1)
		w.config.Log.Info("large row encoded", "table", p.reference.Table, "key", p.reference.Key, "row-version", p.reference.Version,
			"encoding", p.reference.Encoding, "base", p.reference.Base, "bytes", len(data), "after", clock.Now().Sub(start).Round(10*time.Microsecond))
	}
	return data
}

// EncodedRow returns the encoding that a reference of UpdatesFor names, or false if the row or the base is no longer kept.
func (w *Watcher) EncodedRow(now time.Time, reference RowReference) ([]byte, bool) {
	cached := w.cached[reference.Table]
	if cached == nil {
		return nil, false
	}
	p, known := cached.referenced(now, reference)
	if !known {
		return nil, false
	}
	return w.encodingOf(p), true
}

// HeldLargeRows returns the versions of the cached rows that other VMs may send differences for.
func (w *Watcher) HeldLargeRows() []RowVersion {
	var held []RowVersion
	for _, table := range w.tables() {
		held = append(held, w.cached[table].largeVersions(table)...)
	}
	return held
}

// encodedUpdate returns the rows that changed after the version that a VM has. The large rows that it understands in an encoding are left out of
// the update and returned as pending.
func (t *cachedTable) encodedUpdate(now time.Time, table model.TableName, request UpdateRequest) (TableUpdate, []pendingRow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	update := t.updateSince(now, table, request.Versions[table])
	if len(request.Understands) == 0 {
		return update, nil
	}
	var pending []pendingRow
	plain := update.Rows[:0]
	for _, r := range update.Rows {
		large := t.large[r.Key]
		if large == nil {
			plain = append(plain, r)
			continue
		}
		large.prune(now)
		p, known := large.choose(RowVersion{Table: table, Key: r.Key, Version: r.Version}, request)
		if !known {
			plain = append(plain, r)
			continue
		}
		pending = append(pending, p)
	}
	update.Rows = plain
	return update, pending
}

// choose returns the shortest encoding of a row that a VM understands: the difference from the version that it has, if that is kept, and
// otherwise the compressed row.
func (l *largeRow) choose(version RowVersion, request UpdateRequest) (pendingRow, bool) {
	if base, held := request.held(version.Table, version.Key); held && request.understands(EncodingDelta) {
		if e, kept := l.differenceFrom(l.version(base)); kept {
			return pendingRow{reference: RowReference{RowVersion: version, Encoding: EncodingDelta, Base: base}, encoding: e}, true
		}
	}
	if !request.understands(EncodingCompressed) {
		return pendingRow{}, false
	}
	return pendingRow{reference: RowReference{RowVersion: version, Encoding: EncodingCompressed}, encoding: l.compressed}, true
}

// referenced returns the encoding that a reference names. It may be of an earlier version: otherwise a row that changes often
// could be superseded each time before it is requested.
func (t *cachedTable) referenced(now time.Time, reference RowReference) (pendingRow, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	newest := t.large[reference.Key]
	if newest == nil {
		return pendingRow{}, false
	}
	newest.prune(now)
	named := newest.version(reference.Version)
	if named == nil {
		return pendingRow{}, false
	}
	p := pendingRow{reference: reference, encoding: named.compressed}
	known := reference.Encoding == EncodingCompressed
	if reference.Encoding == EncodingDelta {
		p.encoding, known = named.differenceFrom(newest.version(reference.Base))
	}
	return p, known
}

// largeVersions returns the versions of the large rows that the table holds.
func (t *cachedTable) largeVersions(table model.TableName) []RowVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	var versions []RowVersion
	for key, large := range t.large {
		versions = append(versions, RowVersion{Table: table, Key: key, Version: large.row.Version})
	}
	return versions
}
