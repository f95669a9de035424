package stand

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/model"
)

// orderStream separates the faults of orders from other uses of a seed.
const orderStream = 33

type (
	// Orders stands in for the platform's promotion service of all groups: it records every order, checks the fencing tokens over all groups
	// and passes the order to the cluster of its group. It is safe for concurrent use and implements model.Promotions.
	Orders struct {
		clusters map[model.GroupName]*Cluster

		mu     sync.Mutex
		random *rand.Rand
		faults OrderFaults
		orders []*OrderRecord
		// held holds the orders that have arrived and are not carried out or refused.
		held map[*OrderRecord]struct{}
		// highest is the order with the highest fencing token that was taken, and holders maps each token to the first order under it.
		highest    *OrderRecord
		holders    map[int64]*OrderRecord
		lastTaken  *OrderRecord
		turn       time.Duration
		violations []string
	}

	// OrderFaults describes the faults of the promotion service; the zero value has none.
	OrderFaults struct {
		// MinHold and MaxHold bound how long an order is held before it is carried out in full, even if its sender has given up. Half of the
		// orders that are held are then answered, the others never. With a MaxHold of 0, no order is held.
		MinHold, MaxHold time.Duration
		// With LoseAnswers, orders are carried out at once and never answered.
		LoseAnswers bool
	}

	// OrderRecord is what the promotion service knows of an order.
	OrderRecord struct {
		Order model.PromoteOrder
		// SentAt is when the order arrived at the platform, and TakenAt when the platform read it and checked its token.
		SentAt, TakenAt time.Time
		// CarriedOutAt is when the promotion took effect; it is zero if it has not.
		CarriedOutAt time.Time
	}

	// orderFate is what happens to one order.
	orderFate struct {
		hold     time.Duration
		answered bool
	}
)

// NewOrders returns a promotion service without faults; seed determines how its faults affect each order.
func NewOrders(seed uint64) *Orders {
	return &Orders{
		clusters: map[model.GroupName]*Cluster{}, random: rand.New(rand.NewPCG(seed, orderStream)), holders: map[int64]*OrderRecord{},
		held: map[*OrderRecord]struct{}{},
	}
}

// Add adds a cluster to those that take orders.
func (o *Orders) Add(c *Cluster) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.clusters[c.config.Group] = c
}

// SetFaults replaces the faults; orders that are held stay so.
func (o *Orders) SetFaults(faults OrderFaults) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = faults
}

// Promote passes an order to its cluster, as the present faults let it. It does not end with the context: a sender that gives up takes nothing back.
// It returns model.ErrUncertain for an order that is never answered.
func (o *Orders) Promote(_ context.Context, order model.PromoteOrder) error {
	record := &OrderRecord{Order: order, SentAt: time.Now()}
	fate := o.admit(record)
	time.Sleep(fate.hold)
	cluster := o.take(record, time.Now())
	err := errors.Newf("group %s is unknown", order.Group)
	if cluster != nil {
		err = cluster.promote(order, func(at time.Time) { o.recordCarriedOut(record, at) })
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.held, record)
	if !fate.answered {
		return model.ErrUncertain
	}
	return err
}

// admit draws the fate of an order.
func (o *Orders) admit(record *OrderRecord) orderFate {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.held[record] = struct{}{}
	fate := orderFate{answered: !o.faults.LoseAnswers}
	if o.faults.MaxHold > 0 {
		fate.hold = o.faults.MinHold + time.Duration(o.random.Int64N(int64(o.faults.MaxHold-o.faults.MinHold)+1))
		fate.answered = fate.answered && o.random.IntN(2) == 0
	}
	return fate
}

// take records that the platform reads an order now, and checks its token.
func (o *Orders) take(record *OrderRecord, at time.Time) *Cluster {
	o.mu.Lock()
	defer o.mu.Unlock()
	record.TakenAt = at
	o.check(record)
	o.orders = append(o.orders, record)
	return o.clusters[record.Order.Group]
}

func (o *Orders) recordCarriedOut(record *OrderRecord, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	record.CarriedOutAt = at
}
