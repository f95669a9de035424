package stand

import (
	"fmt"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// orderTimeFormat is the form of times in violations by orders.
const orderTimeFormat = "15:04:05.000"

// check compares an order with those that were taken before it, over all groups; the caller holds the lock.
func (o *Orders) check(record *OrderRecord) {
	fence := record.Order.Fence
	if o.highest != nil && fence < o.highest.Order.Fence {
		o.violations = append(o.violations, fmt.Sprintf("an order came under an older fencing token: %s, after %s", record, o.highest))
	}
	if o.highest == nil || fence > o.highest.Order.Fence {
		o.highest = record
	}
	if first := o.holders[fence]; first == nil {
		o.holders[fence] = record
	} else if first.Order.Holder != record.Order.Holder {
		o.violations = append(o.violations, fmt.Sprintf("two holders ordered under one fencing token: %s, after %s", record, first))
	}
	if last := o.lastTaken; last != nil && last.Order.Holder != record.Order.Holder {
		if turn := max(1, record.TakenAt.Sub(last.TakenAt)); o.turn == 0 || turn < o.turn {
			o.turn = turn
		}
	}
	o.lastTaken = record
}

// String returns the order with its holder, token, target and times.
func (r *OrderRecord) String() string {
	text := fmt.Sprintf("token %d of %s for %s of %s, sent %s, taken %s", r.Order.Fence, r.Order.Holder, r.Order.Target, r.Order.Group,
		r.SentAt.Format(orderTimeFormat), r.TakenAt.Format(orderTimeFormat))
	if !r.CarriedOutAt.IsZero() {
		text += ", carried out " + r.CarriedOutAt.Format(orderTimeFormat)
	}
	return text
}

// Violations returns the orders under an older fencing token and those of two holders under one token, over all groups.
func (o *Orders) Violations() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]string(nil), o.violations...)
}

// Records returns all orders that were taken, in the order of their taking.
func (o *Orders) Records() []OrderRecord {
	o.mu.Lock()
	defer o.mu.Unlock()
	records := make([]OrderRecord, 0, len(o.orders))
	for _, r := range o.orders {
		records = append(records, *r)
	}
	return records
}

// Turn returns the shortest time between two orders in a row that were taken from different holders; 0 if there were none.
func (o *Orders) Turn() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.turn
}

// Held returns the orders that have arrived and are not carried out or refused.
func (o *Orders) Held() []model.PromoteOrder {
	o.mu.Lock()
	defer o.mu.Unlock()
	var orders []model.PromoteOrder
	for r := range o.held {
		orders = append(orders, r.Order)
	}
	return orders
}
