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
		next.Next.Term, next.Next.Final = r.record.Next.Term, r.record.Next.Final
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
// the row shows the write or the context ends, and also if this VM has written the row of the lease meanwhile, for another group.
func (r *replacement) writeRecord(ctx context.Context, next state.PrimaryRecord) (int64, error) {
	next.Era, next.Write = model.EraOf(r.record.Version), state.NewWriteID()
	row, err := next.Row()
	if err != nil {
		return 0, err
	}
	expected := model.StoredRow{Table: row.Table, Key: row.Key, Version: r.record.Version}
	tries := recordTries{run: r, row: row}
	for {
		lease := r.s.lease.row()
		version, err := r.s.config.Rows.Apply(ctx, model.Change{Expected: []model.StoredRow{expected, lease}, Writes: []model.StoredRow{row}})
		if err == nil {
			return version, nil
		}
		version, outcome := tries.judge(ctx, lease, err)
		switch {
		case outcome == tryTookEffect:
			return version, nil
		case outcome == tryRefused:
			return 0, err
		case outcome == tryOpen && !retry.Sleep(ctx, 4*pollInterval):
			return 0, err
		}
	}
}

// tryOutcome is what is known of the write of a record after a try that was not answered with success.
type tryOutcome string

const (
	// tryTookEffect means that this try or an earlier one took effect.
	tryTookEffect tryOutcome = "TookEffect"
	// tryRefused means that no try can take effect any more.
	tryRefused tryOutcome = "Refused"
	// tryAgain means that the next try may succeed at once, and tryOpen that it may after a while.
	tryAgain tryOutcome = "Again"
	tryOpen  tryOutcome = "Open"
)

// recordTries is the series of tries to write a row. The conflict of a try may be the effect of an earlier one that was performed late; lost is set
// once there may be such a one.
type recordTries struct {
	run  *replacement
	row  model.StoredRow
	lost bool
}

// judge returns the outcome after a try under a row of the lease failed with err, and the version of the written row if the write took effect.
func (t *recordTries) judge(ctx context.Context, lease model.StoredRow, err error) (int64, tryOutcome) {
	conflict := errors.Is(err, model.ErrConflict)
	unanswered := errors.IsAny(err, model.ErrUncertain, model.ErrStoreUnavailable)
	t.lost = t.lost || unanswered
	if t.lost {
		page, readErr := t.run.s.config.Rows.Rows(ctx, state.Table)
		if readErr != nil {
			return 0, tryOpen
		}
		if version, tookEffect := state.VersionWritten(t.row, page.Rows); tookEffect {
			return version, tryTookEffect
		}
	}
	switch {
	case conflict && t.run.s.lease.renewedSince(t.run.lease.Fence, lease.Version):
		return 0, tryAgain
	case unanswered:
		return 0, tryOpen
	default:
		return 0, tryRefused
	}
}
