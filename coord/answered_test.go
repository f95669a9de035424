package coord

import (
	"context"
	"io"
	"sync"
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

// forgetfulRows loses the answer to the next change, which takes effect at once or late, and does not serve the reading of the table after it.
type forgetfulRows struct {
	model.RowStore
	armed bool
	late  bool
	// perform makes the late change.
	perform func()
}

func (r *forgetfulRows) Apply(ctx context.Context, change model.Change) (int64, error) {
	if !r.armed {
		return r.RowStore.Apply(ctx, change)
	}
	r.armed = false
	r.perform = func() { _, _ = r.RowStore.Apply(context.Background(), change) }
	if !r.late {
		r.perform()
	}
	return 0, model.ErrUncertain
}

func (r *forgetfulRows) Rows(ctx context.Context, table model.TableName) (model.RowsPage, error) {
	if r.perform != nil && !r.late {
		return model.RowsPage{}, model.ErrStoreUnavailable
	}
	return r.RowStore.Rows(ctx, table)
}

// TestOrdersAreTakenOverThoughTheAnswerToTheClaimIsLost guards against a lower token: the claim of a process that started again took effect, its answer
// was lost, and the next claim took the row for one that this process knows, without the orders of the process before.
func TestOrdersAreTakenOverThoughTheAnswerToTheClaimIsLost(t *testing.T) {
	for name, late := range map[string]bool{"read-back not served": false, "write takes effect after the read-back": true} {
		t.Run(name, func(t *testing.T) {
			rows, _, successor, lease := newSuccessor(t)
			successor.register()
			successor.refresh()
			faulty := &forgetfulRows{RowStore: successor.coordinatorLease.rows, armed: true, late: late}
			successor.coordinatorLease.rows = faulty
			_, err := successor.claim(t.Context())
			require.Error(t, err)
			if late {
				faulty.perform()
			}
			successor.coordinatorLease.rows = faulty.RowStore
			successor.refresh()
			require.Len(t, successor.cache.Snapshot().Coordinator.Orders, 1, "the row has the order, as it should")

			again, err := successor.claim(t.Context())
			require.NoError(t, err)
			require.Equal(t, lease.Fence, again.Fence)
			pending := successor.isPending("g")
			successor.giveUp(t.Context())
			other := newLeaseClaimant(t, rows, "b", "first")
			other.refresh()
			next, err := other.claim(t.Context())
			t.Logf("order of fence %d recorded %v ago; pending at the successor: %v; another VM's claim: fence %d, error %v", lease.Fence, time.Millisecond, pending, next.Fence, err)
			require.True(t, pending, "the order of the process before may still be under way")
			require.ErrorIs(t, err, errOrderPending, "an order under fence %d may be under way", lease.Fence)
		})
	}
}

// answeringPromotions answers an order after a while, and lets it take effect later.
type answeringPromotions struct {
	mu       sync.Mutex
	answerIn []time.Duration
	onAnswer func(order int)
	orders   []model.PromoteOrder
}

func (p *answeringPromotions) Promote(ctx context.Context, order model.PromoteOrder) error {
	p.mu.Lock()
	number := len(p.orders)
	p.orders = append(p.orders, order)
	p.mu.Unlock()
	if number >= len(p.answerIn) {
		<-ctx.Done()
		return model.ErrUncertain
	}
	time.Sleep(p.answerIn[number])
	if p.onAnswer != nil {
		p.onAnswer(number)
	}
	return nil
}

// newRunOf returns the run of a process that holds the lease.
func newRunOf(holder *leaseClaimant, lease state.CoordinatorLease, dialer model.Dialer, promotions model.Promotions) *replacement {
	holder.cache.ApplyInstances(1, true, []model.Instance{{Name: "i-1", Group: "g"}, {Name: "i-2", Group: "g"}, {Name: "i-3", Group: "g"}}, nil, clock.Now())
	supervisor := &Supervisor{
		config: Config{Self: holder.self, Cache: holder.cache, Dialer: dialer, Promotions: promotions, Log: log.New(io.Discard)}, lease: holder.coordinatorLease,
	}
	r := &replacement{
		s: supervisor, group: "g", lease: lease, record: state.PrimaryRecord{Group: "g", Term: 1, Primary: "i-1", Next: &state.Intent{Term: 2}},
		announcedAt: clock.Now(), releases: map[model.VMID]elect.Release{},
	}
	for name := range holder.cache.Snapshot().VMs {
		r.releases[name] = elect.Release{VM: name, Known: pausedForTerm2.Received, Complete: true}
	}
	return r
}

// TestLateAnswerDoesNotEndTheLeaseBeforeTheEffect guards against a lease that is given up between the answer to an order and the promotion: the order
// was answered after its run had ended, or as it ended.
func TestLateAnswerDoesNotEndTheLeaseBeforeTheEffect(t *testing.T) {
	const effect = 300 * time.Millisecond
	for name, c := range map[string]struct {
		answerIn time.Duration
		ended    bool
	}{
		"answer after the run has ended":                  {answerIn: 4 * time.Second, ended: true},
		"answer just before the end of the wait, not run": {answerIn: answerTimeout + promotionTimeout - 40*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rows := stand.NewRows()
			dialer := &changingDialer{states: map[model.InstanceName]model.InstanceState{"i-2": pausedForTerm2, "i-3": pausedForTerm2}}
			a, lease := newHolder(t, rows)
			answered := make(chan struct{})
			promotions := &answeringPromotions{answerIn: []time.Duration{c.answerIn}, onAnswer: func(int) {
				time.AfterFunc(effect, func() { dialer.set("i-2", leadsTerm2) })
				close(answered)
			}}
			first := newRunOf(a, lease, dialer, promotions)
			ctx, end := context.WithCancel(t.Context())
			defer end()
			if c.ended {
				time.AfterFunc(answerTimeout/2, end)
			}
			_, err := first.promote(ctx, first.s.config.Cache.Snapshot().Instances["i-2"])
			require.Equal(t, c.ended, err != nil, "a run that was not ended orders again, or sees the effect")
			a.giveUp(t.Context()) // As at the end of a run.
			<-answered

			b := newLeaseClaimant(t, rows, "b", "first")
			b.register()
			require.Never(t, func() bool {
				b.refresh()
				_, err = b.claim(t.Context())
				return err == nil
			}, effect-200*time.Millisecond, 10*time.Millisecond, "the lease was given up before the effect of the answered order")
		})
	}
}

// TestOrderOfTheNextHolderIsNotSettledByAnAnsweredOne plays that to its end: a third holder gets a token above that of an order which the platform
// still holds.
func TestOrderOfTheNextHolderIsNotSettledByAnAnsweredOne(t *testing.T) {
	t.Parallel()
	rows := stand.NewRows()
	dialer := &changingDialer{states: map[model.InstanceName]model.InstanceState{"i-2": pausedForTerm2, "i-3": pausedForTerm2}}
	a, lease := newHolder(t, rows)
	answered := make(chan struct{})
	promotions := &answeringPromotions{answerIn: []time.Duration{4 * time.Second}, onAnswer: func(int) {
		time.AfterFunc(300*time.Millisecond, func() { dialer.set("i-2", leadsTerm2) })
		close(answered)
	}}
	first := newRunOf(a, lease, dialer, promotions)
	ctx, end := context.WithCancel(t.Context())
	time.AfterFunc(answerTimeout/2, end)
	_, err := first.promote(ctx, first.s.config.Cache.Snapshot().Instances["i-2"])
	require.Error(t, err)
	a.giveUp(t.Context())
	<-answered

	b := newLeaseClaimant(t, rows, "b", "first")
	b.register()
	var second state.CoordinatorLease
	claimed := false
	for until := time.Now().Add(200 * time.Millisecond); !claimed && time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		b.refresh()
		second, err = b.claim(t.Context())
		claimed = err == nil
	}
	if !claimed {
		return // The lease is kept until the effect shows.
	}
	held := &answeringPromotions{} // It holds every order and never answers.
	run := newRunOf(b, second, dialer, held)
	_, err = run.promote(t.Context(), run.s.config.Cache.Snapshot().Instances["i-2"])
	require.NoError(t, err)
	b.giveUp(t.Context())
	time.Sleep(50 * time.Millisecond)
	c := newLeaseClaimant(t, rows, "c", "first")
	c.refresh()
	third, err := c.claim(t.Context())
	t.Logf("orders that the platform holds: %+v; the third holder has fence %d, error %v", held.orders, third.Fence, err)
	require.Error(t, err, "the order of fence %d is still under way, and fence %d may order", second.Fence, third.Fence)
}

// TestAnsweredOrderIsPendingUntilItsEffect guards against another replica that is ordered between the answer to an order and its effect, by a run that
// found the order unanswered.
func TestAnsweredOrderIsPendingUntilItsEffect(t *testing.T) {
	t.Parallel()
	rows := stand.NewRows()
	equal := pausedForTerm2
	dialer := &changingDialer{states: map[model.InstanceName]model.InstanceState{"i-2": equal, "i-3": equal}}
	a, lease := newHolder(t, rows)
	promotions := &answeringPromotions{answerIn: []time.Duration{4 * time.Second}, onAnswer: func(int) {
		time.AfterFunc(700*time.Millisecond, func() { dialer.set("i-2", leadsTerm2) })
	}}
	first := newRunOf(a, lease, dialer, promotions)
	ctx, end := context.WithCancel(t.Context())
	time.AfterFunc(answerTimeout/2, end)
	_, err := first.promote(ctx, first.s.config.Cache.Snapshot().Instances["i-2"])
	require.Error(t, err)
	// i-2 answers no status for a moment, so the run can't order it again.
	dialer.mu.Lock()
	delete(dialer.states, "i-2")
	dialer.mu.Unlock()
	next := newRunOf(a, lease, dialer, promotions)
	target, term, err := next.awaitOrders(t.Context())
	require.NoError(t, err)
	require.Equal(t, leadsTerm2.Term, term, "the run waits for the effect, and nothing else is ordered")
	require.Equal(t, model.InstanceName("i-2"), target.Name)
	require.Len(t, promotions.orders, 1)
}
