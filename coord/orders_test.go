package coord

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
	"github.com/crocusshore/crocusshore/state"
)

// newHolder returns a process that holds the coordinator lease.
func newHolder(t *testing.T, rows *stand.Rows) (*leaseClaimant, state.CoordinatorLease) {
	t.Helper()
	holder := newLeaseClaimant(t, rows, "a", "first")
	holder.register()
	holder.refresh()
	lease, err := holder.claim(t.Context())
	require.NoError(t, err)
	return holder, lease
}

// TestLeaseWithAnOrderUnderWayOutlivesItsProcess guards against an order that is taken after another VM ordered under a higher token: a process
// sent an order and was killed, and the order lay in the queue of the platform.
func TestLeaseWithAnOrderUnderWayOutlivesItsProcess(t *testing.T) {
	rows := stand.NewRows()
	holder, lease := newHolder(t, rows)
	_, err := holder.recordOrder(t.Context(), lease.Fence, state.SentOrder{Group: "g", Kind: state.OrderPromote, Target: "i-2", Term: 2})
	require.NoError(t, err)
	other := newLeaseClaimant(t, rows, "b", "first")
	other.refresh()
	newLeaseClaimant(t, rows, "a", "second").register()
	other.refresh()
	time.Sleep(1400 * time.Millisecond)
	_, err = other.claim(t.Context())
	require.ErrorIs(t, err, errOrderPending)
	other.recordSettled(other.cache.Snapshot().Coordinator.Version)
	next, err := other.claim(t.Context())
	require.NoError(t, err, "the order is known to have been carried out")
	require.Equal(t, lease.Fence+1, next.Fence)
	require.Empty(t, next.Orders)
}

// TestLeaseIsKeptWhileAnOrderIsUnderWay guards against a lease that is given up after an order was sent and not answered.
func TestLeaseIsKeptWhileAnOrderIsUnderWay(t *testing.T) {
	rows := stand.NewRows()
	holder, lease := newHolder(t, rows)
	order, err := holder.recordOrder(t.Context(), lease.Fence, state.SentOrder{Group: "g", Kind: state.OrderPromote, Target: "i-2", Term: 2})
	require.NoError(t, err)
	holder.giveUp(t.Context())
	holder.refresh()
	require.False(t, holder.cache.Snapshot().Coordinator.Released)
	require.Len(t, holder.cache.Snapshot().Coordinator.Orders, 1)
	require.True(t, holder.isPending("g"))
	holder.settle(order)
	holder.refresh()
	require.True(t, holder.cache.Snapshot().Coordinator.Released)
	require.Empty(t, holder.cache.Snapshot().Coordinator.Orders)
}

// TestOnlyOrderOfAGroupIsKnownToBeCarriedOut guards against taking a promotion for the end of all orders: of two for the same target only one
// has been carried out.
func TestOnlyOrderOfAGroupIsKnownToBeCarriedOut(t *testing.T) {
	for name, count := range map[string]int{"one order": 1, "two orders": 2} {
		t.Run(name, func(t *testing.T) {
			holder, lease := newHolder(t, stand.NewRows())
			var orders []recordedOrder
			for range count {
				order, err := holder.recordOrder(t.Context(), lease.Fence, state.SentOrder{Group: "g", Kind: state.OrderPromote, Target: "i-2", Term: 2})
				require.NoError(t, err)
				orders = append(orders, order)
			}
			holder.recordCarriedOut("g", "i-2", 2)
			for _, order := range orders {
				require.Equal(t, count == 1, order.ctx.Err() != nil)
			}
		})
	}
}

// TestAnswerToARepeatedOrderDoesNotSettleTheFirst guards against a first order that is taken under an older token: it was not answered, the order
// was repeated and answered, and the promotion was taken for the end of the first one, too.
func TestAnswerToARepeatedOrderDoesNotSettleTheFirst(t *testing.T) {
	holder, lease := newHolder(t, stand.NewRows())
	order := state.SentOrder{Group: "g", Kind: state.OrderPromote, Target: "i-2", Term: 2}
	first, err := holder.recordOrder(t.Context(), lease.Fence, order)
	require.NoError(t, err)
	second, err := holder.recordOrder(t.Context(), lease.Fence, order)
	require.NoError(t, err)
	holder.settle(second)
	holder.recordCarriedOut("g", "i-2", 2)
	require.NoError(t, first.ctx.Err(), "it may still be under way")
	holder.refresh()
	require.True(t, holder.cache.Snapshot().Coordinator.Orders[0].Repeated, "nor may another VM settle it by the promotion")
}

// TestTokenStaysWhileTheHolderStays guards against a higher token while an order under the lower one is under way: a process renewed its lease
// after it had expired, or after the answer to a renewal was lost.
func TestTokenStaysWhileTheHolderStays(t *testing.T) {
	rows := stand.NewRows()
	holder, lease := newHolder(t, rows)
	rows.SetFaults(stand.RowsFaults{LostAnswerShare: 1})
	_, err := holder.recordOrder(t.Context(), lease.Fence, state.SentOrder{Group: "g", Kind: state.OrderPromote, Target: "i-2", Term: 2})
	require.NoError(t, err, "the row shows that it took effect")
	rows.SetFaults(stand.RowsFaults{})
	holder.mu.Lock()
	holder.claimedAt = holder.claimedAt.Add(-time.Minute)
	holder.mu.Unlock()
	again, err := holder.claim(t.Context())
	require.NoError(t, err)
	require.Equal(t, lease.Fence, again.Fence)
	require.Len(t, again.Orders, 1)
}

// TestOrderOfALostLeaseIsNotRecorded guards against an order under a token that another VM has followed.
func TestOrderOfALostLeaseIsNotRecorded(t *testing.T) {
	rows := stand.NewRows()
	holder, lease := newHolder(t, rows)
	holder.giveUp(t.Context())
	other := newLeaseClaimant(t, rows, "b", "first")
	other.refresh()
	_, err := other.claim(t.Context())
	require.NoError(t, err)
	_, err = holder.recordOrder(t.Context(), lease.Fence, state.SentOrder{Group: "g", Kind: state.OrderResume})
	require.Error(t, err)
	require.False(t, holder.isPending("g"))
	holder.mu.Lock()
	holder.held.Released = false
	holder.mu.Unlock()
	_, err = holder.recordOrder(t.Context(), lease.Fence, state.SentOrder{Group: "g", Kind: state.OrderResume})
	require.ErrorIs(t, err, model.ErrConflict, "the row has changed")
}

// TestPromotionDoesNotSettleTheEndOfAPause guards against a RESUME that ends the pause of a later replacement: a replica had not answered it, and the
// promotion that followed was taken for its end, so that the lease was given up.
func TestPromotionDoesNotSettleTheEndOfAPause(t *testing.T) {
	holder, lease := newHolder(t, stand.NewRows())
	resume, err := holder.recordOrder(t.Context(), lease.Fence, state.SentOrder{Group: "g", Kind: state.OrderResume})
	require.NoError(t, err)
	promote, err := holder.recordOrder(t.Context(), lease.Fence, state.SentOrder{Group: "g", Kind: state.OrderPromote, Target: "i-2", Term: 2})
	require.NoError(t, err)
	holder.recordCarriedOut("g", "i-2", 2)
	require.Error(t, promote.ctx.Err(), "the only order for a promotion was carried out")
	holder.settle(promote)
	holder.recordCarriedOut("g", "i-2", 2)
	require.NoError(t, resume.ctx.Err(), "the end of the pause may be under way")
}
