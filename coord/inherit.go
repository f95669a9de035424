package coord

import (
	"context"
	"time"

	"github.com/crocusshore/crocusshore/state"
)

// isInherited reports whether the process before this one on this VM holds the lease: this process has registered since the row was written. To the
// platform the holder is the VM, so this process continues under the same token.
func (l *coordinatorLease) isInherited(row state.CoordinatorLease) bool {
	vm, known := l.cache.Snapshot().VMs[l.self]
	return row.Fence > 0 && !row.Released && row.Holder == l.self && row.Boot != l.boot && known && vm.Boot == l.boot && vm.Version > row.Version
}

// takeOverOrders takes over the orders in a row of this VM that this process has not written, as far as it knows: it was written by the process before,
// or the answer to this process's write was lost. The orders may be under way; those that are known to be settled are left out. The caller holds the
// lock, and settles the orders by settleTakenOver after a successful write of the row, or drops them. An order without a name is of an older program, and
// what its target shows does not settle it.
func (l *coordinatorLease) takeOverOrders(ctx context.Context, now time.Time, row state.CoordinatorLease) []recordedOrder {
	if row.Version == l.settledVersion {
		return nil
	}
	orders := make([]recordedOrder, 0, len(row.Orders))
	for _, order := range row.Orders {
		if order.ID != "" && (l.settled[order.ID] || l.isKept(order.ID)) {
			continue
		}
		recordedAt := l.unchangedSince.Add(-ageOf(order))
		if order.ID == "" {
			order.ID, order.Repeated = state.NewOrderID(), true
		}
		orders = append(orders, l.keepOrder(ctx, now, order, recordedAt))
	}
	return orders
}

// isKept reports whether this process keeps an order that may be under way; the caller holds the lock.
func (l *coordinatorLease) isKept(id state.OrderID) bool {
	for _, order := range l.orders {
		if order.ID == id {
			return true
		}
	}
	return false
}

// settleTakenOver keeps the lease for orders that were taken over until they are settled; the caller holds the lock.
func (l *coordinatorLease) settleTakenOver(orders []recordedOrder) {
	for _, order := range orders {
		l.log.Info("order taken over", "order", order.number, "sent", l.orders[order.number].SentOrder)
		l.users++
		go l.settleLater(order)
	}
}
