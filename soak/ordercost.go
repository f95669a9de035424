package soak

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// orderAnswerTime is how long after its sending an order is unanswered if no byte of an answer has reached its sender.
const orderAnswerTime = time.Second

type (
	// orderLog records the orders of all VMs, as seen at the VMs' ends of the paths to the promotion service; it is safe for concurrent use.
	orderLog struct {
		mu     sync.Mutex
		orders []*sentOrder
	}

	// sentOrder is an order with its text; answeredAt is when the first byte of the answer was passed to the VM, zero if none was.
	sentOrder struct {
		vm                 model.VMID
		text               string
		sentAt, answeredAt time.Time
	}

	// orderConn is the VM's end of a connection to the promotion service, which carries one order at most.
	orderConn struct {
		net.Conn
		log   *orderLog
		order sentOrder
	}

	// ackedWrite is when a write was sent, and when its acknowledgement was recorded.
	ackedWrite struct{ sentAt, at time.Time }

	// orderWait is the time around an unanswered order for which its group had no acknowledged write.
	orderWait struct {
		order  sentOrder
		target model.Instance
		// before is the last acknowledgement before the sending of the order, and after the first of a write that was sent after it. If open is set,
		// there was none, and after is when the callers ended.
		before, after time.Time
		open          bool
	}
)

// observe returns a function that makes a connection of a VM record its order.
func (l *orderLog) observe(vm model.VMID) func(net.Conn) net.Conn {
	return func(conn net.Conn) net.Conn { return &orderConn{Conn: conn, log: l, order: sentOrder{vm: vm}} }
}

func (c *orderConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	if n > 0 && c.order.sentAt.IsZero() {
		c.order.sentAt = time.Now()
		c.log.orders = append(c.log.orders, &c.order)
	}
	c.order.text += string(b[:n])
	return n, err
}

func (c *orderConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	if n > 0 && c.order.answeredAt.IsZero() {
		c.order.answeredAt = time.Now()
	}
	return n, err
}

// unanswered returns the orders that were sent before an instant and not answered within orderAnswerTime, in the order of their sending.
func (l *orderLog) unanswered(before time.Time) []sentOrder {
	l.mu.Lock()
	defer l.mu.Unlock()
	var orders []sentOrder
	for _, o := range l.orders {
		if o.sentAt.Before(before) && (o.answeredAt.IsZero() || o.answeredAt.Sub(o.sentAt) > orderAnswerTime) {
			orders = append(orders, *o)
		}
	}
	return orders
}

// orderWaits returns the waits around all unanswered orders.
func (s *site) orderWaits() []orderWait {
	var waits []orderWait
	for _, order := range s.sentOrders.unanswered(s.callersEndedAt) {
		for _, i := range s.instances {
			if strings.Contains(order.text, string(i.Name)) {
				waits = append(waits, s.history.orderWait(order, i, s.callersEndedAt))
			}
		}
	}
	return waits
}

// orderWait returns the wait around an order of a run whose callers ended at an instant.
func (h *history) orderWait(order sentOrder, target model.Instance, end time.Time) orderWait {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := orderWait{order: order, target: target, before: order.sentAt, after: end, open: true}
	for _, a := range h.acked[target.Group] {
		if a.at.Before(order.sentAt) {
			w.before = a.at
		}
		if w.open && a.sentAt.After(order.sentAt) {
			w.after, w.open = a.at, false
		}
	}
	return w
}

// length returns the time from the sending of the order to the first acknowledged write after it.
func (w orderWait) length() time.Duration { return w.after.Sub(w.order.sentAt) }

// String returns the order with its wait.
func (w orderWait) String() string {
	answer, after := "not answered", "writes"
	if !w.order.answeredAt.IsZero() {
		answer = "answered after " + seconds(w.order.answeredAt.Sub(w.order.sentAt))
	}
	if w.open {
		after = "no write until the end,"
	}
	return fmt.Sprintf("order of %s for %s of %s, sent %s, %s; %s %s after it, %s after the last before it", w.order.vm, w.target.Name, w.target.Group,
		w.order.sentAt.Format(clockFormat), answer, after, seconds(w.length()), seconds(w.after.Sub(w.before)))
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.2f s", d.Seconds()) }

// longestGaps returns the longest time between two acknowledged writes of a group in a row, and the longest in which a group waited for an
// unanswered order. The callers ended at an instant.
func (h *history) longestGaps(group model.GroupName, waits []orderWait, end time.Time) (longest, waiting time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := end
	if len(h.acked[group]) > 0 {
		last = h.acked[group][0].at
	}
	for _, a := range append(slices.Clone(h.acked[group]), ackedWrite{at: end}) {
		waited := func(w orderWait) bool { return last.Before(w.after) && a.at.After(w.order.sentAt) }
		longest = max(longest, a.at.Sub(last))
		if slices.ContainsFunc(waits, waited) {
			waiting = max(waiting, a.at.Sub(last))
		}
		last = a.at
	}
	return longest, waiting
}

// countWaits adds the waits around unanswered orders to the counts: of several orders in one wait, that of the first.
func (s *site) countWaits(counts *OrderCounts) {
	waits := s.orderWaits()
	counts.Unanswered = len(waits)
	ends := map[model.GroupName]time.Time{}
	for _, w := range waits {
		counts.Details = append(counts.Details, "unanswered: "+w.String())
		if !w.order.sentAt.Before(ends[w.target.Group]) {
			ends[w.target.Group] = w.after
			counts.Waits = append(counts.Waits, w.length())
		}
	}
	slices.Sort(counts.Waits)
	for g := range s.clusters {
		longest, waiting := s.history.longestGaps(groupName(g), waits, s.callersEndedAt)
		counts.Details = append(counts.Details, fmt.Sprintf("%s: longest time between writes %s, during waits for unanswered orders %s", groupName(g),
			seconds(longest), seconds(waiting)))
	}
}
