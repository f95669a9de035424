package coord

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/state"
)

type (
	// pendingOrder is an order of this process that may be under way. carriedOut ends the wait for its answer.
	pendingOrder struct {
		state.SentOrder
		recordedAt time.Time
		carriedOut context.CancelFunc
	}

	// recordedOrder is the permission to send an order once, until an instant. The context ends when nothing of the order can be under way any more.
	recordedOrder struct {
		number int
		sendBy time.Time
		ctx    context.Context
	}
)

// recordOrder records an order under a fencing token in the row of the lease, which renews the lease. From then on no other VM claims the lease
// before the order is settled or has outlived its lifetime. Every successful call must be followed by a call of settle.
func (l *coordinatorLease) recordOrder(ctx context.Context, fence int64, order state.SentOrder) (recordedOrder, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held.Fence != fence || l.held.Released {
		return recordedOrder{}, errors.Wrap(errLeaseHeld, "the lease was lost")
	}
	order.ID, order.Repeated = state.NewOrderID(), l.markRepeated(order)
	now := clock.Now()
	recorded := l.keepOrder(ctx, now, order, now)
	if err := l.write(ctx, now, l.next(now, l.held)); err != nil {
		l.dropOrder(recorded)
		l.noteSettled(order.ID)
		return recordedOrder{}, err
	}
	recorded.sendBy = elect.SendBy(now)
	l.users++
	return recorded, nil
}

// keepOrder keeps an order that was recorded at an instant for as long as it may be under way; the caller holds the lock.
func (l *coordinatorLease) keepOrder(ctx context.Context, now time.Time, order state.SentOrder, recordedAt time.Time) recordedOrder {
	if l.orders == nil {
		l.orders = map[int]pendingOrder{}
	}
	l.orderCount++
	recorded := recordedOrder{number: l.orderCount}
	var carriedOut context.CancelFunc
	recorded.ctx, carriedOut = context.WithTimeout(context.WithoutCancel(ctx), elect.SettledBy(recordedAt).Sub(now))
	l.orders[recorded.number] = pendingOrder{SentOrder: order, recordedAt: recordedAt, carriedOut: carriedOut}
	return recorded
}

// markRepeated marks the orders of this process for the same promotion that may be under way, and reports whether there are any; the caller holds
// the lock.
func (l *coordinatorLease) markRepeated(order state.SentOrder) bool {
	repeated := false
	for number, pending := range l.orders {
		if order.Kind == state.OrderPromote && pending.Kind == order.Kind && pending.Group == order.Group {
			pending.Repeated, repeated = true, true
			l.orders[number] = pending
		}
	}
	return repeated
}

// dropOrder forgets an order; the caller holds the lock.
func (l *coordinatorLease) dropOrder(order recordedOrder) {
	l.orders[order.number].carriedOut()
	delete(l.orders, order.number)
}

// noteSettled notes that an order cannot be under way, should a row with it come back; the caller holds the lock.
func (l *coordinatorLease) noteSettled(id state.OrderID) {
	if l.settled == nil {
		l.settled = map[state.OrderID]bool{}
	}
	l.settled[id] = true
}

// settle records that an order was carried out, was not sent, or has outlived its lifetime. The lease is given up if nothing else uses it.
func (l *coordinatorLease) settle(order recordedOrder) {
	l.mu.Lock()
	l.noteSettled(l.orders[order.number].ID)
	l.dropOrder(order)
	l.mu.Unlock()
	l.giveUp(context.WithoutCancel(order.ctx))
}

// removeSettled writes the row of the lease without the orders that are settled, so that no other process waits for them.
func (l *coordinatorLease) removeSettled(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held.Fence == 0 || l.held.Released || len(l.held.Orders) == len(l.orders) {
		return
	}
	now := clock.Now()
	if err := l.write(ctx, now, l.next(now, l.held)); err != nil {
		l.log.Info("settled orders stay in the row of the lease", "fence", l.held.Fence, "error", err)
	}
}

// recordCarriedOut records that an instance of a group leads a term, which may be the effect of an order of this process. If several orders for the
// group may be under way, it does not show which of them were carried out, even if one was answered. The end of a pause may be under way all the same.
func (l *coordinatorLease) recordCarriedOut(group model.GroupName, target model.InstanceName, term model.Term) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []pendingOrder
	for _, order := range l.orders {
		if order.Group == group && order.Kind == state.OrderPromote {
			found = append(found, order)
		}
	}
	if len(found) == 1 && !found[0].Repeated && found[0].Target == target && term >= found[0].Term {
		found[0].carriedOut()
	}
}

// pending returns the orders of this process that may be under way, in the order of their recording; the caller holds the lock.
func (l *coordinatorLease) pending(now time.Time) []state.SentOrder {
	orders := make([]state.SentOrder, 0, len(l.orders))
	for _, number := range slices.Sorted(maps.Keys(l.orders)) {
		order := l.orders[number]
		order.Age = now.Sub(order.recordedAt)
		orders = append(orders, order.SentOrder)
	}
	return orders
}

// leastAge returns the age of the last of the orders.
func leastAge(orders []state.SentOrder) time.Duration {
	if len(orders) == 0 {
		return 0
	}
	return ageOf(slices.MinFunc(orders, func(a, b state.SentOrder) int { return cmp.Compare(ageOf(a), ageOf(b)) }))
}

// ageOf returns the age of an order, as if it was recorded later if an older program may send it later.
func ageOf(order state.SentOrder) time.Duration {
	if order.ID == "" {
		return -elect.OlderSendDelay
	}
	return order.Age
}

// isPending reports whether an order of this process for a group may be under way.
func (l *coordinatorLease) isPending(group model.GroupName) bool {
	return l.isKindPending(group, state.OrderPromote) || l.isKindPending(group, state.OrderResume)
}

// isKindPending reports whether an order of a kind that this process sent for a group may be under way.
func (l *coordinatorLease) isKindPending(group model.GroupName, kind state.OrderKind) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, order := range l.orders {
		if order.Group == group && order.Kind == kind {
			return true
		}
	}
	return false
}

// orderedTarget returns the instance that this process, or the one before it, ordered to be promoted in a term, if nothing else for the group may be
// under way.
func (l *coordinatorLease) orderedTarget(group model.GroupName, term model.Term) (model.InstanceName, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var target model.InstanceName
	for _, order := range l.orders {
		switch {
		case order.Group != group:
			continue
		case order.Kind != state.OrderPromote || order.Term != term || (target != "" && target != order.Target):
			return "", false
		}
		target = order.Target
	}
	return target, target != ""
}

// recordSettled records that the orders in the row of a version were carried out.
func (l *coordinatorLease) recordSettled(version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settledVersion = version
}

// settleLater settles an unanswered order once it is known to be carried out or has outlived its lifetime.
func (l *coordinatorLease) settleLater(order recordedOrder) {
	<-order.ctx.Done()
	l.log.Info("order settled without an answer", "order", order.number, "carried-out", errors.Is(order.ctx.Err(), context.Canceled))
	l.settle(order)
}

// settleAnswered settles an order that was answered once its effect shows, or after promotionTimeout. Until then another order must not be judged by
// what the target shows, and no other instance may be ordered.
func (l *coordinatorLease) settleAnswered(order recordedOrder) {
	select {
	case <-order.ctx.Done():
	case <-time.After(promotionTimeout):
	}
	l.settle(order)
}

// claimLease claims the coordinator lease. If orders of its last holder may be under way, it first looks whether they were carried out.
func (s *Supervisor) claimLease(ctx context.Context) (state.CoordinatorLease, error) {
	if row := s.config.Cache.Snapshot().Coordinator; len(row.Orders) > 0 && s.lease.isInherited(row) {
		s.settleCarriedOut(row)
	}
	lease, err := s.lease.claim(ctx)
	if !errors.Is(err, errOrderPending) || !s.settleCarriedOut(s.config.Cache.Snapshot().Coordinator) {
		return lease, err
	}
	return s.lease.claim(ctx)
}

// settleCarriedOut records that the orders in the row of the lease were carried out, if the instances show that.
func (s *Supervisor) settleCarriedOut(row state.CoordinatorLease) bool {
	if !s.carriedOut(row.Orders) {
		return false
	}
	s.config.Log.Info("orders of another process were carried out", "holder", row.Holder, "fence", row.Fence, "orders", row.Orders)
	s.lease.recordSettled(row.Version)
	return true
}

// carriedOut reports whether the instances show that every order was carried out. A repeated order may be under way although one was carried
// out, and the end of a pause does not show which order ended it. A program that gave orders no names did not ask whether their targets led already.
func (s *Supervisor) carriedOut(orders []state.SentOrder) bool {
	if len(orders) == 0 {
		return false
	}
	groups := map[model.GroupName]bool{}
	for _, order := range orders {
		target, registered := s.config.Cache.Snapshot().Instances[order.Target]
		if order.ID == "" || order.Kind != state.OrderPromote || order.Repeated || groups[order.Group] || !registered {
			return false
		}
		groups[order.Group] = true
		reported, err := s.status(target)
		if err != nil || reported.Role != model.RolePrimary || reported.Term < order.Term {
			return false
		}
	}
	return true
}
