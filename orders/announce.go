package orders

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/retry"
	"github.com/crocusshore/crocusshore/world"
)

// announce writes the intent; from then on no VM takes a new lease on the old primary.
func (r *replacement) announce(ctx context.Context) error {
	next := r.lead
	next.Next = &world.Intent{Term: r.lead.Term + 1, Holder: r.s.config.Self, Fence: r.lease.Fence}
	if r.lead.Next != nil {
		next.Next.Term = r.lead.Next.Term
	}
	r.newIntent = r.lead.Next == nil
	version, err := r.write(ctx, next)
	if err != nil {
		return err
	}
	r.lead = next
	r.lead.Version = version
	r.announcedAt = clock.Now()
	r.s.config.Log.Info("replacement announced", "group", r.group, "term", next.Next.Term, "old", next.Primary, "fence", r.lease.Fence, "planned", r.planned, "row", version)
	return nil
}

// write changes the row of the lead under the duty; a lost answer is settled by reading back.
func (r *replacement) write(ctx context.Context, next world.PrimaryRecord) (int64, error) {
	row, err := next.Row()
	if err != nil {
		return 0, err
	}
	expected := model.StoredRow{Table: row.Table, Key: row.Key, Version: r.lead.Version}
	for {
		version, err := r.s.config.Rows.Apply(ctx, model.Change{
			Expected: []model.StoredRow{expected, r.s.lease.row()}, Writes: []model.StoredRow{row},
		})
		if err == nil {
			return version, nil
		}
		if !errors.Is(err, model.ErrUncertain) && !errors.Is(err, model.ErrStoreUnavailable) {
			return 0, err
		}
		if found, ok := r.readBack(ctx, next); ok {
			return found, nil
		}
		if !retry.Sleep(ctx, 4*pollInterval) {
			return 0, err
		}
	}
}

func (r *replacement) readBack(ctx context.Context, want world.PrimaryRecord) (int64, bool) {
	page, err := r.s.config.Rows.Rows(ctx, world.Table)
	if err != nil {
		return 0, false
	}
	found, known, err := world.FindPrimary(r.group, page.Rows)
	if err != nil || !known || found.Version == r.lead.Version || found.Primary != want.Primary || found.Term != want.Term {
		return 0, false
	}
	same := (found.Next == nil && want.Next == nil) || (found.Next != nil && want.Next != nil && *found.Next == *want.Next)
	return found.Version, same
}
