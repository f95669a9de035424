package coord

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
	"github.com/crocusshore/crocusshore/state"
)

// TestLateWriteOfAnotherOrderIsNotThatOfThisOne guards against an order that is sent without being recorded: an earlier write of this process, with
// another order, took effect late, and its row was taken for the one with this order.
func TestLateWriteOfAnotherOrderIsNotThatOfThisOne(t *testing.T) {
	holder, lease := newHolder(t, stand.NewRows())
	late := holder.next(clock.Now(), lease)
	late.Orders = []state.SentOrder{{Group: "g", Kind: state.OrderPromote, Target: "i-2", Term: 2}}
	row, err := late.Row()
	require.NoError(t, err)
	holder.rows.Put(row.Table, row.Key, row.Value)
	wanted := late
	wanted.Orders = []state.SentOrder{{Group: "h", Kind: state.OrderPromote, Target: "j-2", Term: 2}}
	_, err = holder.readBack(t.Context(), wanted)
	require.ErrorIs(t, err, errLeaseHeld)
	_, err = holder.readBack(t.Context(), late)
	require.NoError(t, err)
}

// lossyRows loses the answers to all changes. While unreadable is set, nothing can be read.
type lossyRows struct {
	model.RowStore
	unreadable bool
}

func (r *lossyRows) Apply(ctx context.Context, change model.Change) (int64, error) {
	if _, err := r.RowStore.Apply(ctx, change); errors.Is(err, model.ErrStoreUnavailable) {
		return 0, err
	}
	return 0, model.ErrUncertain
}

func (r *lossyRows) Rows(ctx context.Context, table model.TableName) (model.RowsPage, error) {
	if r.unreadable {
		return model.RowsPage{}, model.ErrStoreUnavailable
	}
	return r.RowStore.Rows(ctx, table)
}

// TestEarlierClaimIsNotThatOfThisOne guards against two holders: the row of a claim whose answer was lost was taken for that of the next claim, sent
// seconds later. The other VMs count the time of the lease from the row, and this one counted it from the second claim.
func TestEarlierClaimIsNotThatOfThisOne(t *testing.T) {
	rows := stand.NewRows()
	claimant := newLeaseClaimant(t, rows, "a", "first")
	claimant.refresh()
	lossy := &lossyRows{RowStore: rows.Client("a"), unreadable: true}
	claimant.coordinatorLease.rows = lossy
	_, err := claimant.claim(t.Context())
	require.ErrorIs(t, err, model.ErrStoreUnavailable)
	require.NotEmpty(t, rows.Row(state.Table, state.KeyCoordinator).Value, "the claim took effect")
	lossy.unreadable = false
	_, err = claimant.claim(t.Context())
	require.ErrorIs(t, err, errLeaseHeld, "the second claim found another version of the row")
	require.False(t, claimant.holds(clock.Now()))
	claimant.refresh()
	lease, err := claimant.claim(t.Context())
	require.NoError(t, err, "now that the first claim is known, it is renewed")
	require.Equal(t, int64(1), lease.Renewals)
}
