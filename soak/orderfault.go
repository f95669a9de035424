package soak

import (
	"fmt"
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
)

const (
	// minHold and maxHold bound how long the platform holds a late order.
	minHold, maxHold = 3 * time.Second, 8 * time.Second
	// maxOrderFaultInterval bounds the time between the beginnings of two faults of the promotion service.
	maxOrderFaultInterval = 2 * time.Second
	// orderFaultStream separates the draws of these faults from those of all others, which stay the same for a seed.
	orderFaultStream = 2
)

// planOrderFaults draws the faults of the promotion service and of the paths to it.
func (i *injector) planOrderFaults(length time.Duration) []fault {
	return drawSeries(i.random, length, maxOrderFaultInterval, i.drawOrderFault)
}

func (i *injector) drawOrderFault() fault {
	kinds := []func() fault{i.ordersLate, i.ordersLate, i.ordersNotAccepted, i.orderAnswersLost, i.orderLink, i.primaryDown, i.primaryDown, i.primaryDown}
	return kinds[i.random.IntN(len(kinds))]()
}

func (i *injector) orderFault(name string, faults stand.OrderFaults) fault {
	return fault{
		name: name, begin: func() { i.site.orders.SetFaults(faults) }, end: func() { i.site.orders.SetFaults(stand.OrderFaults{}) },
	}
}

func (i *injector) ordersLate() fault {
	return i.orderFault("orders are taken late", stand.OrderFaults{MinHold: minHold, MaxHold: maxHold})
}

func (i *injector) orderAnswersLost() fault {
	return i.orderFault("orders are not answered", stand.OrderFaults{LoseAnswers: true})
}

func (i *injector) ordersNotAccepted() fault {
	return fault{
		name: "connections of orders are not accepted", begin: func() { i.site.orderListener.paused.Store(true) },
		end: func() { i.site.orderListener.paused.Store(false) },
	}
}

// orderLink cuts or delays the path of one VM to the promotion service alone.
func (i *injector) orderLink() fault {
	vm := i.drawVM()
	return i.linkFault(fmt.Sprintf("way of vm-%d to the promotion service", vm), []*Proxy{i.site.orderProxies[vm]})
}

// primaryDown takes the primary of a group down, so that a new one is ordered.
func (i *injector) primaryDown() fault {
	g := i.random.IntN(len(i.site.clusters))
	var primary model.InstanceName
	return fault{
		name: fmt.Sprintf("primary of %s down", groupName(g)),
		begin: func() {
			if primary, _ = i.site.clusters[g].Primary(); primary != "" {
				i.site.setFaults(g, primary, stand.DatabaseFaults{Down: true})
			}
		},
		end: func() {
			if primary != "" {
				i.site.setFaults(g, primary, stand.DatabaseFaults{})
			}
		},
	}
}

// awaitOrders waits until the promotion service has taken all orders that it holds.
func (s *site) awaitOrders() {
	for len(s.orders.Held()) > 0 && s.ctx.Err() == nil {
		time.Sleep(pollInterval)
	}
}
