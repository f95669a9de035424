package coord

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/clock"
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
