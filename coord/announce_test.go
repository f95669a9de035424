package coord

import (
	"context"
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
	"github.com/crocusshore/crocusshore/state"
)

// rowsWithConcurrentChange calls before ahead of the first change that is applied.
type rowsWithConcurrentChange struct {
	model.RowStore
	before func()
}

func (r *rowsWithConcurrentChange) Apply(ctx context.Context, change model.Change) (int64, error) {
	if before := r.before; before != nil {
		r.before = nil
		before()
	}
	return r.RowStore.Apply(ctx, change)
}

// newWriter returns a run for group g of a process that holds the coordinator lease; before is called ahead of its first change.
func newWriter(t *testing.T, rows *stand.Rows, before func(*leaseClaimant, state.CoordinatorLease)) *replacement {
	t.Helper()
	holder, lease := newHolder(t, rows)
	supervisor := &Supervisor{config: Config{
		Self: "a", Cache: holder.cache, Log: log.New(io.Discard),
		Rows: &rowsWithConcurrentChange{RowStore: rows.Client("a"), before: func() { before(holder, lease) }},
	}, lease: holder.coordinatorLease}
	return &replacement{s: supervisor, group: "g", lease: lease, record: state.PrimaryRecord{Group: "g", Primary: "i-1"}}
}

// TestRecordIsWrittenWhileAnotherGroupRecordsAnOrder guards against a run that fails because its own process changed the row of the lease: one VM
// replaces all primaries that fail together, and records an order for one group while it writes the record of another.
func TestRecordIsWrittenWhileAnotherGroupRecordsAnOrder(t *testing.T) {
	r := newWriter(t, stand.NewRows(), func(holder *leaseClaimant, lease state.CoordinatorLease) {
		_, err := holder.recordOrder(t.Context(), lease.Fence, state.SentOrder{Group: "h", Kind: state.OrderPromote, Target: "i-2", Term: 2})
		require.NoError(t, err)
	})
	_, err := r.writeRecord(t.Context(), state.PrimaryRecord{Group: "g", Term: 2, Primary: "i-3"})
	require.NoError(t, err)
}

// TestRecordIsNotWrittenUnderALostLease guards against a record of a process that another VM has followed as the holder of the lease.
func TestRecordIsNotWrittenUnderALostLease(t *testing.T) {
	rows := stand.NewRows()
	r := newWriter(t, rows, func(_ *leaseClaimant, lease state.CoordinatorLease) {
		other, err := state.CoordinatorLease{Holder: "b", Boot: "first", Fence: lease.Fence + 1}.Row()
		require.NoError(t, err)
		rows.Put(state.Table, other.Key, other.Value)
	})
	_, err := r.writeRecord(t.Context(), state.PrimaryRecord{Group: "g", Term: 2, Primary: "i-3"})
	require.ErrorIs(t, err, model.ErrConflict)
}

// TestRecordThatAnotherVMChangedIsNotWritten guards against a repeated write that undoes what another VM decided.
func TestRecordThatAnotherVMChangedIsNotWritten(t *testing.T) {
	rows := stand.NewRows()
	r := newWriter(t, rows, func(holder *leaseClaimant, lease state.CoordinatorLease) {
		_, err := holder.recordOrder(t.Context(), lease.Fence, state.SentOrder{Group: "h", Kind: state.OrderPromote, Target: "i-2", Term: 2})
		require.NoError(t, err)
		changed, err := state.PrimaryRecord{Group: "g", Term: 5, Primary: "i-9"}.Row()
		require.NoError(t, err)
		rows.Put(state.Table, changed.Key, changed.Value)
	})
	_, err := r.writeRecord(t.Context(), state.PrimaryRecord{Group: "g", Term: 2, Primary: "i-3"})
	require.ErrorIs(t, err, model.ErrConflict)
}

// TestReleasesOfOlderRegistrationsAreNotAll guards against a replacement that does not ask a VM which may use the old primary: it registered before
// the announcement, and the cached table of the VM that replaces the primary was older.
func TestReleasesOfOlderRegistrationsAreNotAll(t *testing.T) {
	rows := stand.NewRows()
	r := newWriter(t, rows, func(*leaseClaimant, state.CoordinatorLease) { newLeaseClaimant(t, rows, "x", "first").register() })
	require.NoError(t, r.announce(t.Context()))
	r.releases = map[model.VMID]elect.Release{"a": {VM: "a"}}
	require.False(t, r.allReleased(), "the table may be older than a registration")
	page, err := r.s.config.Rows.Rows(t.Context(), state.Table)
	require.NoError(t, err)
	require.NoError(t, r.s.config.Cache.ApplyRows(page.Version, true, page.Rows, clock.Now()))
	require.False(t, r.allReleased(), "the other VM has not confirmed")
	r.releases["x"] = elect.Release{VM: "x"}
	require.True(t, r.allReleased())
}
