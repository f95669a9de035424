package coord

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
	"github.com/crocusshore/crocusshore/state"
)

// orderOfG is an order of the process before the one of a test.
var orderOfG = state.SentOrder{Group: "g", Kind: state.OrderPromote, Target: "i-2", Term: 2}

// newSuccessor returns a process that sent orderOfG and has ended, and one that started again on its VM and has not registered yet.
func newSuccessor(t *testing.T) (rows *stand.Rows, ended, successor *leaseClaimant, lease state.CoordinatorLease) {
	t.Helper()
	rows = stand.NewRows()
	ended, lease = newHolder(t, rows)
	_, err := ended.recordOrder(t.Context(), lease.Fence, orderOfG)
	require.NoError(t, err)
	successor = newLeaseClaimant(t, rows, "a", "second")
	successor.refresh()
	return rows, ended, successor, lease
}

// TestProcessThatStartsAgainTakesOverTheLeaseOfItsVM guards against a group without a primary for as long as an order of a killed process may be under
// way, although the process runs again: an order under the same token of the same VM breaks no rule.
func TestProcessThatStartsAgainTakesOverTheLeaseOfItsVM(t *testing.T) {
	rows, ended, successor, lease := newSuccessor(t)
	_, err := successor.claim(t.Context())
	require.Error(t, err, "its registration shows that the process before has ended")
	successor.register()
	successor.refresh()
	next, err := successor.claim(t.Context())
	require.NoError(t, err)
	require.Equal(t, lease.Fence, next.Fence, "the holder stays")
	require.Len(t, next.Orders, 1, "its order may still be under way")
	require.Greater(t, next.Orders[0].Age, time.Duration(0))
	next.Orders[0].Age = 0
	require.Equal(t, orderOfG, next.Orders[0])
	require.True(t, successor.isPending("g"))
	successor.giveUp(t.Context())
	other := newLeaseClaimant(t, rows, "b", "first")
	other.refresh()
	_, err = other.claim(t.Context())
	require.ErrorIs(t, err, errOrderPending, "the lease is kept until the order is settled")
	ended.refresh()
	_, err = ended.claim(t.Context())
	require.Error(t, err, "the process before does not take the lease back")
	_, err = ended.recordOrder(t.Context(), lease.Fence, state.SentOrder{Group: "h", Kind: state.OrderPromote, Target: "j-2", Term: 2})
	require.ErrorIs(t, err, model.ErrConflict)
}

// TestOrderOfTheProcessBeforeIsMarkedAsRepeated guards against an order of the process before that is settled by the effect of one of this process.
func TestOrderOfTheProcessBeforeIsMarkedAsRepeated(t *testing.T) {
	_, _, successor, _ := newSuccessor(t)
	successor.register()
	successor.refresh()
	lease, err := successor.claim(t.Context())
	require.NoError(t, err)
	again, err := successor.recordOrder(t.Context(), lease.Fence, orderOfG)
	require.NoError(t, err)
	successor.recordCarriedOut("g")
	require.NoError(t, again.ctx.Err())
	require.Len(t, successor.held.Orders, 2)
	for _, order := range successor.held.Orders {
		require.True(t, order.Repeated)
	}
}

// TestFailedClaimTakesOverNoOrders guards against a process that keeps orders of the process before without having its lease.
func TestFailedClaimTakesOverNoOrders(t *testing.T) {
	rows, _, successor, _ := newSuccessor(t)
	successor.register()
	successor.refresh()
	row, err := state.CoordinatorLease{Holder: "b", Boot: "first", Fence: 9}.Row()
	require.NoError(t, err)
	rows.Put(state.Table, row.Key, row.Value)
	_, err = successor.claim(t.Context())
	require.ErrorIs(t, err, model.ErrConflict)
	require.False(t, successor.isPending("g"))
}

// TestOrderedInstanceIsOrderedAgainIfItCanTakeOver plays a run that finds an unanswered order, by what the replicas hold now. Another instance is never
// ordered meanwhile.
func TestOrderedInstanceIsOrderedAgainIfItCanTakeOver(t *testing.T) {
	ahead := pausedForTerm2
	ahead.Received.Position++
	for name, c := range map[string]struct {
		ordered, other model.InstanceState
		pending        state.SentOrder
		again          bool
	}{
		"as far as the other replica": {ordered: pausedForTerm2, other: pausedForTerm2, pending: orderOfG, again: true},
		"further than the other one":  {ordered: ahead, other: pausedForTerm2, pending: orderOfG, again: true},
		"started again without a log": {ordered: model.InstanceState{Role: model.RoleReplica, Held: 2}, other: pausedForTerm2, pending: orderOfG},
		"behind the other one":        {ordered: pausedForTerm2, other: ahead, pending: orderOfG},
		"ordered for another term":    {ordered: pausedForTerm2, other: pausedForTerm2, pending: state.SentOrder{Group: "g", Kind: state.OrderPromote, Target: "i-2", Term: 1}},
		"the end of a pause":          {ordered: pausedForTerm2, other: pausedForTerm2, pending: state.SentOrder{Group: "g", Kind: state.OrderResume}},
	} {
		t.Run(name, func(t *testing.T) {
			dialer := &changingDialer{states: map[model.InstanceName]model.InstanceState{"i-2": c.ordered, "i-3": c.other}}
			r, promotions := newResumedRun(t, dialer)
			promotions.onOrder = func() { dialer.set("i-2", leadsTerm2) }
			_, err := r.s.lease.recordOrder(t.Context(), r.lease.Fence, c.pending)
			require.NoError(t, err)
			ctx, cancel := context.WithTimeout(t.Context(), 5*retryInterval)
			defer cancel()
			err = r.awaitOrders(ctx)
			require.Equal(t, c.again, err == nil, err)
			if !c.again {
				require.Zero(t, promotions.count())
				return
			}
			require.Equal(t, model.InstanceName("i-2"), promotions.orders[0].Target)
			require.Equal(t, r.lease.Fence, promotions.orders[0].Fence)
			require.True(t, r.s.lease.isPending("g"), "the first order may still be under way")
		})
	}
}

// TestOrdersTakenOverEndWithTheirLifetime guards against a lease that a process keeps for ever, or gives up too early, for an order of the process before.
func TestOrdersTakenOverEndWithTheirLifetime(t *testing.T) {
	_, _, successor, _ := newSuccessor(t)
	successor.register()
	successor.refresh()
	successor.unchangedSince = successor.unchangedSince.Add(-elect.OrderLifetime)
	_, err := successor.claim(t.Context())
	require.NoError(t, err)
	require.True(t, successor.isPending("g"))
	require.Eventually(t, func() bool { return !successor.isPending("g") }, 2*time.Second, time.Millisecond)
}

// TestOrderKeepsItsAgeOverSeveralProcesses guards against a group that waits anew for an order with each process that takes it over.
func TestOrderKeepsItsAgeOverSeveralProcesses(t *testing.T) {
	const age = 4 * time.Second
	rows, _, successor, _ := newSuccessor(t)
	successor.register()
	successor.refresh()
	successor.unchangedSince = successor.unchangedSince.Add(-age)
	_, err := successor.claim(t.Context())
	require.NoError(t, err)
	next := newLeaseClaimant(t, rows, "a", "third")
	next.register()
	next.refresh()
	_, err = next.claim(t.Context())
	require.NoError(t, err)
	require.GreaterOrEqual(t, next.held.Orders[0].Age, age)
	require.Less(t, time.Until(elect.SettledBy(next.orders[1].recordedAt)), elect.OrderLifetime+time.Second-age)
}

// TestOrdersThatWereCarriedOutAreNotTakenOver guards against a group whose next failure has to wait for an order that was carried out before its sender
// was killed.
func TestOrdersThatWereCarriedOutAreNotTakenOver(t *testing.T) {
	for name, target := range map[string]model.InstanceState{"carried out": leadsTerm2, "under way": pausedForTerm2} {
		t.Run(name, func(t *testing.T) {
			_, _, successor, _ := newSuccessor(t)
			successor.register()
			successor.refresh()
			successor.cache.ApplyInstances(1, true, []model.Instance{{Name: "i-2", Group: "g"}}, nil, clock.Now())
			supervisor := &Supervisor{config: Config{Cache: successor.cache, Dialer: statusDialer{"i-2": target}, Log: log.New(io.Discard)}, lease: successor.coordinatorLease}
			_, err := supervisor.claimLease(t.Context())
			require.NoError(t, err)
			require.Equal(t, target == pausedForTerm2, successor.isPending("g"))
		})
	}
}
