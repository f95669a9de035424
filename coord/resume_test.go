package coord

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
	"github.com/crocusshore/crocusshore/state"
)

type (
	// resumeDialer opens connections to replicas that answer RESUME with err.
	resumeDialer struct {
		sent int
		err  error
	}

	resumeConn struct {
		model.InstanceConn
		dialer *resumeDialer
	}
)

func (d *resumeDialer) Dial(time.Time, model.Instance, model.TeamName) (model.InstanceConn, error) {
	return &resumeConn{dialer: d}, nil
}

func (c *resumeConn) Resume(time.Time) (model.InstanceState, error) {
	c.dialer.sent++
	return model.InstanceState{}, c.dialer.err
}

func (c *resumeConn) Close() {}

// TestResumeThatMayArriveLateKeepsTheLease guards against a RESUME that ends the pause of a later replacement: the replicas would confirm commits
// after they were compared.
func TestResumeThatMayArriveLateKeepsTheLease(t *testing.T) {
	for name, c := range map[string]struct {
		err     error
		pending bool
	}{
		"answered":   {},
		"refused":    {err: &model.RefusedError{Fault: model.FaultBusy}},
		"unanswered": {err: errors.Mark(errors.New("deadline"), model.ErrNoAnswer), pending: true},
	} {
		t.Run(name, func(t *testing.T) {
			holder, lease := newHolder(t, stand.NewRows())
			holder.cache.ApplyInstances(1, true, []model.Instance{{Name: "i-1", Group: "g"}, {Name: "i-2", Group: "g"}}, nil, clock.Now())
			dialer := &resumeDialer{err: c.err}
			supervisor := &Supervisor{config: Config{Cache: holder.cache, Dialer: dialer, Log: log.New(io.Discard)}, lease: holder.coordinatorLease}
			r := &replacement{s: supervisor, group: "g", lease: lease, record: state.PrimaryRecord{Group: "g", Primary: "i-1"}, pausedAt: clock.Now()}
			require.NoError(t, r.resumeReplicas(t.Context()))
			require.Equal(t, 1, dialer.sent)
			holder.refresh()
			require.Equal(t, c.pending, len(holder.cache.Snapshot().Coordinator.Orders) > 0, "others wait for what is recorded, should this process end")
			holder.giveUp(t.Context())
			holder.refresh()
			require.Equal(t, c.pending, holder.isPending("g"))
			require.Equal(t, !c.pending, holder.cache.Snapshot().Coordinator.Released)
			require.False(t, c.pending && r.mayCompare(clock.Now()), "a pause may still end")
		})
	}
}

// TestResumeOfALostLeaseIsNotSent guards against a RESUME of a process that was stopped while another VM took the lease over.
func TestResumeOfALostLeaseIsNotSent(t *testing.T) {
	rows := stand.NewRows()
	holder, lease := newHolder(t, rows)
	holder.cache.ApplyInstances(1, true, []model.Instance{{Name: "i-1", Group: "g"}, {Name: "i-2", Group: "g"}}, nil, clock.Now())
	other, err := state.CoordinatorLease{Holder: "b", Boot: "first", Fence: lease.Fence + 1}.Row()
	require.NoError(t, err)
	rows.Put(state.Table, other.Key, other.Value)
	dialer := &resumeDialer{}
	supervisor := &Supervisor{config: Config{Cache: holder.cache, Dialer: dialer, Log: log.New(io.Discard)}, lease: holder.coordinatorLease}
	r := &replacement{s: supervisor, group: "g", lease: lease, record: state.PrimaryRecord{Group: "g", Primary: "i-1"}}
	require.ErrorIs(t, r.resumeReplicas(t.Context()), model.ErrConflict)
	require.Zero(t, dialer.sent)
}
