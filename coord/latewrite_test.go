package coord

import (
	"context"
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
	"github.com/crocusshore/crocusshore/state"
)

// lateRows performs the first change late: it is answered as lost, and performed ahead of the next change.
type lateRows struct {
	model.RowStore
	late  *model.Change
	calls int
}

func (r *lateRows) Apply(ctx context.Context, change model.Change) (int64, error) {
	r.calls++
	if r.calls == 1 {
		r.late = &change
		return 0, model.ErrUncertain
	}
	if r.late != nil {
		if _, err := r.RowStore.Apply(ctx, *r.late); err != nil {
			return 0, err
		}
		r.late = nil
	}
	return r.RowStore.Apply(ctx, change)
}

// newRecorder returns a run for group g, of the given record, of a process that holds the coordinator lease and writes through a store.
func newRecorder(t *testing.T, rows *stand.Rows, record state.PrimaryRecord, open func(model.RowStore) model.RowStore) *replacement {
	t.Helper()
	holder, lease := newHolder(t, rows)
	supervisor := &Supervisor{
		config: Config{Self: "a", Cache: holder.cache, Log: log.New(io.Discard), Rows: open(rows.Client("a"))}, lease: holder.coordinatorLease,
	}
	return &replacement{s: supervisor, group: "g", lease: lease, record: record}
}

// TestConflictWithItsOwnLateWriteIsSuccess guards against a run that fails because its first write was performed after it had read the row back: the
// new primary was recorded, and the old one was not demoted.
func TestConflictWithItsOwnLateWriteIsSuccess(t *testing.T) {
	rows := stand.NewRows()
	r := newRecorder(t, rows, state.PrimaryRecord{Group: "g", Primary: "i-1"}, func(s model.RowStore) model.RowStore { return &lateRows{RowStore: s} })
	version, err := r.writeRecord(t.Context(), state.PrimaryRecord{Group: "g", Term: 2, Primary: "i-3"})
	require.NoError(t, err)
	require.Equal(t, rows.Row(state.Table, "lead/g").Version, version)
}

// TestAnnouncementOfAnEarlierRunIsNotThatOfThisOne guards against a run that takes a replacement for a new one, in which nothing can have been ordered:
// an earlier run of this process had announced it, under the same token, and the cached record was older.
func TestAnnouncementOfAnEarlierRunIsNotThatOfThisOne(t *testing.T) {
	rows := stand.NewRows()
	cached := state.PrimaryRecord{Group: "g", Term: 1, Primary: "i-1"}
	r := newRecorder(t, rows, cached, func(s model.RowStore) model.RowStore { return &lossyRows{RowStore: s} })
	earlier := cached
	earlier.Next = &state.Intent{Term: 2, Holder: "a", Fence: r.lease.Fence}
	row, err := earlier.Row()
	require.NoError(t, err)
	rows.Put(row.Table, row.Key, row.Value)
	ctx, cancel := context.WithTimeout(t.Context(), 5*pollInterval)
	defer cancel()
	require.Error(t, r.announce(ctx))
}

// TestRecordWithOtherReplicasIsNotThatOfThisWrite guards against a record that names other replicas than the run goes on with.
func TestRecordWithOtherReplicasIsNotThatOfThisWrite(t *testing.T) {
	rows := stand.NewRows()
	r := newRecorder(t, rows, state.PrimaryRecord{Group: "g", Term: 1, Primary: "i-1"}, func(s model.RowStore) model.RowStore { return &lossyRows{RowStore: s} })
	other, err := state.PrimaryRecord{Group: "g", Term: 2, Primary: "i-3", Replicas: []model.Incarnation{{Name: "i-4"}}}.Row()
	require.NoError(t, err)
	rows.Put(other.Table, other.Key, other.Value)
	ctx, cancel := context.WithTimeout(t.Context(), 5*pollInterval)
	defer cancel()
	_, err = r.writeRecord(ctx, state.PrimaryRecord{Group: "g", Term: 2, Primary: "i-3", Replicas: []model.Incarnation{{Name: "i-2"}}})
	require.Error(t, err)
}
