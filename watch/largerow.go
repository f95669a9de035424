package watch

import (
	"slices"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/delta"
	"github.com/crocusshore/crocusshore/model"
)

const (
	// maxPastVersions, maxPastBytes and pastRetention bound the earlier versions of a large row that are kept as bases of differences: a VM
	// that has none of them gets the compressed row. The other VMs of a failure domain have a new version after 3 s at most.
	maxPastVersions = 3
	maxPastBytes    = 1 << 20
	pastRetention   = 30 * time.Second
)

type (
	// largeRow is a row of at least LargeRowBytes with its encodings and earlier versions. Its table's lock guards it, except for the contents of
	// its encodings.
	largeRow struct {
		row model.StoredRow
		// compressed and deltas are the encodings, deltas by the version of their base.
		compressed *encoding
		deltas     map[int64]*encoding
		// past holds the earlier versions, the newest first; that of an earlier version is empty. supersededAt is when an earlier version was found to
		// be superseded.
		past         []*largeRow
		supersededAt time.Time
	}

	// encoding is an encoding of a row that is computed by the first VM's request that needs it; the others wait for it.
	encoding struct {
		once    sync.Once
		compute func() []byte
		data    []byte
	}
)

func newLargeRow(row model.StoredRow) *largeRow {
	return &largeRow{
		row: row, deltas: map[int64]*encoding{},
		compressed: &encoding{compute: func() []byte { return delta.Compress(row.Value) }},
	}
}

// next returns the large row with a new version, which was known at an instant.
func (l *largeRow) next(row model.StoredRow, at time.Time) *largeRow {
	if row.Version == l.row.Version {
		return l
	}
	n := newLargeRow(row)
	n.past = append([]*largeRow{l}, l.past...)
	l.past, l.supersededAt = nil, at
	n.prune(at)
	return n
}

// prune drops the earlier versions beyond the bounds, and the differences from these versions.
func (l *largeRow) prune(now time.Time) {
	keep, size := 0, 0
	for _, p := range l.past {
		size += len(p.row.Value)
		if keep == maxPastVersions || size > maxPastBytes || now.Sub(p.supersededAt) > pastRetention {
			break
		}
		keep++
	}
	if keep == len(l.past) {
		return
	}
	for _, p := range l.past[keep:] {
		delete(l.deltas, p.row.Version)
	}
	l.past = slices.Clone(l.past[:keep])
}

// version returns a version of the row, or nil if it is not kept.
func (l *largeRow) version(version int64) *largeRow {
	if l.row.Version == version {
		return l
	}
	for _, p := range l.past {
		if p.row.Version == version {
			return p
		}
	}
	return nil
}

// differenceFrom returns the difference from another version, or false if base is nil because that version is not kept.
func (l *largeRow) differenceFrom(base *largeRow) (*encoding, bool) {
	if base == nil {
		return nil, false
	}
	if known := l.deltas[base.row.Version]; known != nil {
		return known, true
	}
	from, to := base.row.Value, l.row.Value
	e := &encoding{compute: func() []byte { return delta.Encode(from, to) }}
	l.deltas[base.row.Version] = e
	return e, true
}

// bytes returns the encoding, and whether this call computed it.
func (e *encoding) bytes() (data []byte, computed bool) {
	e.once.Do(func() {
		e.data, e.compute = e.compute(), nil
		computed = true
	})
	return e.data, computed
}
