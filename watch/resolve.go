package watch

import (
	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/delta"
	"github.com/crocusshore/crocusshore/model"
)

// Resolve decodes the rows of an update that another VM encoded, and returns all of its rows for Apply. After an error, nothing of the
// update may be applied.
func (w *Watcher) Resolve(update TableUpdate) (model.RowsPage, error) {
	page := model.RowsPage{Rows: update.Rows, Version: update.Version}
	cached := w.cached[update.Table]
	if len(update.Encoded) == 0 || cached == nil {
		return page, nil
	}
	// The rows of the update belong to its sender.
	page.Rows = append([]model.StoredRow(nil), update.Rows...)
	for _, encoded := range update.Encoded {
		value, err := cached.decodeRow(encoded)
		w.countResolved(encoded.Encoding, err)
		if err != nil {
			return model.RowsPage{}, errors.Wrapf(err, "row %q of table %q, version %d", encoded.Key, encoded.Table, encoded.Version)
		}
		page.Rows = append(page.Rows, model.StoredRow{Table: encoded.Table, Key: encoded.Key, Version: encoded.Version, Value: value})
	}
	return page, nil
}

func (w *Watcher) countResolved(e Encoding, err error) {
	result := "Applied"
	if err != nil {
		result = "Discarded"
	}
	w.config.Metrics.Tagged(map[string]string{"encoding": string(e), "result": result}).Counter("rows_decoded").Inc(1)
}

// decodeRow returns the value of an encoded row.
func (t *cachedTable) decodeRow(encoded EncodedRow) ([]byte, error) {
	switch encoded.Encoding {
	case EncodingCompressed:
		return delta.Decompress(encoded.Data)
	case EncodingDelta:
		base := t.largeVersion(encoded.Key, encoded.Base)
		if base == nil {
			return nil, errors.Wrapf(delta.ErrWrongBase, "version %d is not kept", encoded.Base)
		}
		return delta.Apply(base.row.Value, encoded.Data)
	default:
		return nil, errors.Newf("unknown encoding %q", encoded.Encoding)
	}
}

// largeVersion returns a version of a large row, or nil if it is not kept. Only its row may be used without the lock.
func (t *cachedTable) largeVersion(key string, version int64) *largeRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	if large := t.large[key]; large != nil {
		return large.version(version)
	}
	return nil
}
