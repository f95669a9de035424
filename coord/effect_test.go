package coord

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
	"github.com/crocusshore/crocusshore/state"
)

type (
	// changingDialer opens connections to instances whose answers to STATUS change in the course of a test; one without a state does not answer.
	changingDialer struct {
		mu     sync.Mutex
		states map[model.InstanceName]model.InstanceState
	}

	pausableConn struct{ statusConn }

	// silentPromotions holds every order and never answers it, unless answers is set.
	silentPromotions struct {
		answers bool

		mu     sync.Mutex
		orders []model.PromoteOrder
		// onOrder runs when an order has come.
		onOrder func()
	}
)

func (d *changingDialer) Dial(_ time.Time, instance model.Instance, _ model.TeamName) (model.InstanceConn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	answer, known := d.states[instance.Name]
	if !known {
		return nil, errors.New("the instance does not answer")
	}
	return &pausableConn{statusConn{state: answer}}, nil
}

// Pause answers as STATUS does.
func (c *pausableConn) Pause(time.Time, model.Term) (model.InstanceState, error) { return c.state, nil }

func (d *changingDialer) set(name model.InstanceName, answer model.InstanceState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.states[name] = answer
}

func (p *silentPromotions) Promote(ctx context.Context, order model.PromoteOrder) error {
	p.mu.Lock()
	p.orders = append(p.orders, order)
	p.mu.Unlock()
	if p.onOrder != nil {
		p.onOrder()
	}
	if p.answers {
		return nil
	}
	<-ctx.Done()
	return model.ErrUncertain
}

func (p *silentPromotions) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.orders)
}

var (
	// pausedForTerm2 and leadsTerm2 are the states of a replica that is paused for a replacement, and of one that was promoted by it.
	pausedForTerm2 = model.InstanceState{Role: model.RoleReplica, Term: 1, Held: 2, Received: model.Mark{Term: 1, Position: 5}}
	leadsTerm2     = model.InstanceState{Role: model.RolePrimary, Term: 2, Held: 2, Received: model.Mark{Term: 2, Position: 6}}
	followsTerm2   = model.InstanceState{Role: model.RoleReplica, Term: 2, Held: 2, Received: model.Mark{Term: 2, Position: 6}}
	// behind is the state of a replica that is paused for a replacement and lacks an acknowledged commit.
	behind = model.InstanceState{Role: model.RoleReplica, Term: 1, Held: 2, Received: model.Mark{Term: 1, Position: 3}}
)

// newResumedRun returns the run of a holder of the lease that resumes the replacement of i-1, which another VM began, and the promotion service.
func newResumedRun(t *testing.T, dialer model.Dialer) (*replacement, *silentPromotions) {
	t.Helper()
	holder, lease := newHolder(t, stand.NewRows())
	holder.cache.ApplyInstances(1, true, []model.Instance{{Name: "i-1", Group: "g"}, {Name: "i-2", Group: "g"}, {Name: "i-3", Group: "g"}}, nil, clock.Now())
	promotions := &silentPromotions{}
	supervisor := &Supervisor{
		config: Config{
			Self: "a", Cache: holder.cache, Rows: holder.coordinatorLease.rows, Dialer: dialer, Promotions: promotions, Log: log.New(io.Discard),
		},
		lease: holder.coordinatorLease,
	}
	record := state.PrimaryRecord{Group: "g", Term: 1, Primary: "i-1", Next: &state.Intent{Term: 2}}
	return &replacement{
		s: supervisor, group: "g", lease: lease, record: record, announcedAt: clock.Now(),
		releases: map[model.VMID]elect.Release{"a": {VM: "a", Known: pausedForTerm2.Received, Complete: true}},
	}, promotions
}

// TestPromotionByAnEarlierOrderDoesNotSettleALaterOne guards against an order that is taken under an older token: its target led already, by an order
// of an earlier holder, so that the order counted as carried out while the platform held it, and the lease was given up.
func TestPromotionByAnEarlierOrderDoesNotSettleALaterOne(t *testing.T) {
	r, promotions := newResumedRun(t, &changingDialer{states: map[model.InstanceName]model.InstanceState{"i-2": leadsTerm2, "i-3": followsTerm2}})
	term, err := r.promote(t.Context(), r.s.config.Cache.Snapshot().Instances["i-2"])
	require.NoError(t, err)
	require.Equal(t, model.Term(2), term)
	require.Zero(t, promotions.count(), "nothing is left to order")
	require.False(t, r.s.lease.isPending("g"))
}

// TestPromotedInstanceThatAnswersLateIsFound guards against an order for an instance that leads already: it had not answered when the run looked for
// one that an earlier order had promoted, and it answered when the replicas were compared.
func TestPromotedInstanceThatAnswersLateIsFound(t *testing.T) {
	dialer := &changingDialer{states: map[model.InstanceName]model.InstanceState{"i-3": behind}}
	r, _ := newResumedRun(t, dialer)
	_, _, found := r.findPromoted()
	require.False(t, found, "it does not answer yet")
	time.AfterFunc(retryInterval/2, func() { dialer.set("i-2", leadsTerm2) })
	target, err := r.choose(t.Context())
	require.ErrorIs(t, err, errPromoted, "%s leads already and is to be promoted", target.Name)
	require.Equal(t, model.InstanceName("i-2"), target.Name)
}

// TestEffectOfAnOrderSettlesIt guards against a lease that is kept for long after the only order was carried out and its answer lost.
func TestEffectOfAnOrderSettlesIt(t *testing.T) {
	dialer := &changingDialer{states: map[model.InstanceName]model.InstanceState{"i-2": pausedForTerm2, "i-3": pausedForTerm2}}
	r, promotions := newResumedRun(t, dialer)
	promotions.onOrder = func() { dialer.set("i-2", leadsTerm2) }
	_, err := r.promote(t.Context(), r.s.config.Cache.Snapshot().Instances["i-2"])
	require.NoError(t, err)
	require.Equal(t, 1, promotions.count())
	require.Eventually(t, func() bool { return !r.s.lease.isPending("g") }, time.Second, time.Millisecond)
}

// TestRunThatIsEndedAwaitsTheEffectOfItsOrder guards against an order of the next holder that is settled by the promotion of this one: the run was ended
// between the answer to its order and the promotion, and the lease given up.
func TestRunThatIsEndedAwaitsTheEffectOfItsOrder(t *testing.T) {
	dialer := &changingDialer{states: map[model.InstanceName]model.InstanceState{"i-2": pausedForTerm2, "i-3": pausedForTerm2}}
	r, promotions := newResumedRun(t, dialer)
	promotions.answers = true
	ctx, end := context.WithCancel(t.Context())
	promotions.onOrder = func() {
		time.AfterFunc(200*time.Millisecond, func() { dialer.set("i-2", leadsTerm2) })
		end()
	}
	term, err := r.promote(ctx, r.s.config.Cache.Snapshot().Instances["i-2"])
	require.NoError(t, err)
	require.Equal(t, leadsTerm2.Term, term)
}
