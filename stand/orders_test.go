package stand

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

// newTestOrders returns a promotion service for two groups of three instances each.
func newTestOrders() (*Orders, map[model.GroupName]*Cluster) {
	o, clusters := NewOrders(1), map[model.GroupName]*Cluster{}
	for _, group := range []model.GroupName{"g", "h"} {
		c, _ := newTestCluster()
		c.config.Group = group
		clusters[group] = c
		o.Add(c)
	}
	return o, clusters
}

// TestOrdersFindsBrokenFencing violates each rule of fencing tokens once, in one group and over two, and keeps it in each allowed way.
func TestOrdersFindsBrokenFencing(t *testing.T) {
	order := func(group model.GroupName, target model.InstanceName, holder model.VMID, fence int64) model.PromoteOrder {
		return model.PromoteOrder{Group: group, Target: target, Holder: holder, Fence: fence}
	}
	for name, c := range map[string]struct {
		orders    []model.PromoteOrder
		violation string
	}{
		"one holder, one token, two groups": {[]model.PromoteOrder{order("g", "b", "vm-1", 3), order("h", "b", "vm-1", 3)}, ""},
		"a higher token of another holder":  {[]model.PromoteOrder{order("g", "b", "vm-1", 3), order("h", "b", "vm-2", 4)}, ""},
		"a lower token, one group":          {[]model.PromoteOrder{order("g", "b", "vm-2", 4), order("g", "c", "vm-1", 3)}, "older fencing token: token 3 of vm-1"},
		"a lower token, two groups":         {[]model.PromoteOrder{order("g", "b", "vm-2", 4), order("h", "b", "vm-1", 3)}, "older fencing token: token 3 of vm-1"},
		"a lower token of the same holder":  {[]model.PromoteOrder{order("g", "b", "vm-1", 4), order("h", "b", "vm-1", 3)}, "older fencing token: token 3 of vm-1"},
		"a lower token, target not running": {[]model.PromoteOrder{order("g", "b", "vm-2", 4), order("h", "x", "vm-1", 3)}, "older fencing token: token 3 of vm-1"},
		"two holders, one token":            {[]model.PromoteOrder{order("g", "b", "vm-1", 3), order("h", "b", "vm-2", 3)}, "one fencing token: token 3 of vm-2"},
		"two holders, one token, one group": {[]model.PromoteOrder{order("g", "b", "vm-1", 3), order("g", "b", "vm-2", 3)}, "one fencing token: token 3 of vm-2"},
	} {
		t.Run(name, func(t *testing.T) {
			o, _ := newTestOrders()
			for _, next := range c.orders {
				if err := o.Promote(t.Context(), next); err != nil {
					require.ErrorIs(t, err, model.ErrConflict)
				}
			}
			require.Len(t, o.Records(), len(c.orders))
			if c.violation == "" {
				require.Empty(t, o.Violations())
				return
			}
			require.Len(t, o.Violations(), 1)
			require.Contains(t, o.Violations()[0], c.violation)
		})
	}
}

func TestOrdersTellTheShortestTurn(t *testing.T) {
	o, _ := newTestOrders()
	at := time.Unix(100, 0)
	for n, holder := range []model.VMID{"vm-1", "vm-1", "vm-2", "vm-1"} {
		o.take(&OrderRecord{Order: model.PromoteOrder{Group: "g", Target: "b", Holder: holder, Fence: int64(n)}}, at)
		at = at.Add(time.Duration(n+1) * time.Second)
	}
	require.Equal(t, 2*time.Second, o.Turn())
}

func TestLateOrderIsCarriedOutAfterItsSenderGaveUp(t *testing.T) {
	const minHold, maxHold = 200 * time.Millisecond, 300 * time.Millisecond
	o, clusters := newTestOrders()
	o.SetFaults(OrderFaults{MinHold: minHold, MaxHold: maxHold})
	ctx, cancel := context.WithTimeout(t.Context(), minHold/2)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = o.Promote(ctx, model.PromoteOrder{Group: "g", Target: "b", Holder: "vm-1", Fence: 1})
	}()
	<-ctx.Done()
	require.Len(t, o.Held(), 1)
	require.Empty(t, o.Records())
	<-done
	require.Empty(t, o.Held())
	held := o.Records()[0].TakenAt.Sub(o.Records()[0].SentAt)
	require.GreaterOrEqual(t, held, minHold)
	require.Eventually(t, func() bool { name, _ := clusters["g"].Primary(); return name == "b" }, time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return !o.Records()[0].CarriedOutAt.IsZero() }, time.Second, time.Millisecond)
}

func TestOrderWhoseAnswerIsLostIsCarriedOutAtOnce(t *testing.T) {
	o, clusters := newTestOrders()
	o.SetFaults(OrderFaults{LoseAnswers: true})
	require.ErrorIs(t, o.Promote(t.Context(), model.PromoteOrder{Group: "g", Target: "b", Holder: "vm-1", Fence: 1}), model.ErrUncertain)
	require.Eventually(t, func() bool { name, _ := clusters["g"].Primary(); return name == "b" }, time.Second, time.Millisecond)
}
