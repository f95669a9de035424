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

// inheritOrders takes over the orders of the process before, which may be under way; the caller holds the lock. The orders are kept after a
// successful write of the row, by settleInherited, or dropped by dropOrders. Orders that are known to have been carried out are not taken over.
func (l *coordinatorLease) inheritOrders(ctx context.Context, now time.Time, row state.CoordinatorLease) []recordedOrder {
	if row.Version == l.settledVersion {
		return nil
	}
	orders := make([]recordedOrder, 0, len(row.Orders))
	for _, order := range row.Orders {
		orders = append(orders, l.keepOrder(ctx, now, order, l.unchangedSince.Add(-order.Age)))
	}
	return orders
}

// dropOrders drops orders that were taken over; the caller holds the lock.
func (l *coordinatorLease) dropOrders(orders []recordedOrder) {
	for _, order := range orders {
		l.orders[order.number].carriedOut()
		delete(l.orders, order.number)
	}
}

// settleInherited keeps the lease for orders that were taken over until they are settled; the caller holds the lock.
func (l *coordinatorLease) settleInherited(orders []recordedOrder) {
	for _, order := range orders {
		l.log.Info("order of the process before taken over", "order", order.number, "sent", l.orders[order.number].SentOrder)
		l.users++
		go l.settleLater(order)
	}
}
