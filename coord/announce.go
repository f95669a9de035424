package coord

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/retry"
	"github.com/crocusshore/crocusshore/state"
)

// announce writes the intent to the store; from then on no VM takes a new lease on the old primary.
func (r *replacement) announce(ctx context.Context) error {
	next := r.record
	next.Next = &state.Intent{Term: r.record.Term + 1, Holder: r.s.config.Self, Fence: r.lease.Fence}
	if r.record.Next != nil {
		next.Next.Term = r.record.Next.Term
	}
	r.newIntent = r.record.Next == nil
	version, err := r.writeRecord(ctx, next)
	if err != nil {
		return err
	}
	r.record = next
	r.record.Version = version
	r.announcedAt = clock.Now()
	r.s.config.Log.Info("replacement announced", "group", r.group, "term", next.Next.Term, "old-primary", next.Primary,
		"fence", r.lease.Fence, "planned", r.planned, "row-version", version)
	return nil
}

// writeRecord writes the primary record and returns the version of the written row. The write fails unless the row of the coordinator
// lease is as this VM wrote it. If the answer is lost or the store is unavailable, writeRecord reads the row back. It tries again until
// the row shows the record or the context ends, and also if this VM has written the row of the lease meanwhile, for another group.
func (r *replacement) writeRecord(ctx context.Context, next state.PrimaryRecord) (int64, error) {
	row, err := next.Row()
	if err != nil {
		return 0, err
	}
	expected := model.StoredRow{Table: row.Table, Key: row.Key, Version: r.record.Version}
	for {
		lease := r.s.lease.row()
		version, err := r.s.config.Rows.Apply(ctx, model.Change{Expected: []model.StoredRow{expected, lease}, Writes: []model.StoredRow{row}})
		if err == nil {
			return version, nil
		}
		if errors.Is(err, model.ErrConflict) && r.s.lease.renewedSince(r.lease.Fence, lease.Version) {
			continue
		}
		if !errors.Is(err, model.ErrUncertain) && !errors.Is(err, model.ErrStoreUnavailable) {
			return 0, err
		}
		if found, ok := r.readBackRecord(ctx, next); ok {
			return found, nil
		}
		if !retry.Sleep(ctx, 4*pollInterval) {
			return 0, err
		}
	}
}

// readBackRecord returns the version of the group's row in the store, and whether a write of the wanted record took effect.
func (r *replacement) readBackRecord(ctx context.Context, want state.PrimaryRecord) (int64, bool) {
	page, err := r.s.config.Rows.Rows(ctx, state.Table)
	if err != nil {
		return 0, false
	}
	found, known, err := state.FindPrimary(r.group, page.Rows)
	if err != nil || !known || found.Version == r.record.Version || found.Primary != want.Primary || found.Term != want.Term {
		return 0, false
	}
	same := (found.Next == nil && want.Next == nil) || (found.Next != nil && want.Next != nil && *found.Next == *want.Next)
	return found.Version, same
}
