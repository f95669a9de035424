package coord

import (
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

type (
	// statusDialer opens connections to instances that answer STATUS with these states.
	statusDialer map[model.InstanceName]model.InstanceState

	statusConn struct {
		model.InstanceConn
		state model.InstanceState
	}
)

func (d statusDialer) Dial(_ time.Time, instance model.Instance, _ model.TeamName) (model.InstanceConn, error) {
	return &statusConn{state: d[instance.Name]}, nil
}

func (c *statusConn) Status(time.Time) (model.InstanceState, error) { return c.state, nil }

func (c *statusConn) Close() {}

// TestOrderIsNotRepeatedAfterAPauseEnded guards against lost commits: another replica than the target started again after the comparison. It confirms
// commits again, and shows a VM that has not heard of the replacement that it may use the old primary.
func TestOrderIsNotRepeatedAfterAPauseEnded(t *testing.T) {
	paused, again := model.InstanceState{Role: model.RoleReplica, Term: 1, Held: 2}, model.InstanceState{Role: model.RoleReplica, Term: 1, Held: 1}
	for name, c := range map[string]struct {
		target, other       model.InstanceState
		released, unchanged bool
	}{
		"all paused":                   {target: paused, other: paused, unchanged: true},
		"another one started again":    {target: paused, other: again},
		"the target started again":     {target: again, other: paused, released: true},
		"all VMs released the primary": {target: paused, other: again, released: true, unchanged: true},
	} {
		t.Run(name, func(t *testing.T) {
			holder, lease := newHolder(t, stand.NewRows())
			holder.cache.ApplyInstances(1, true, []model.Instance{{Name: "i-1", Group: "g"}, {Name: "i-2", Group: "g"}, {Name: "i-3", Group: "g"}}, nil, clock.Now())
			supervisor := &Supervisor{
				config: Config{Cache: holder.cache, Dialer: statusDialer{"i-2": c.target, "i-3": c.other}, Log: log.New(io.Discard)},
				lease:  holder.coordinatorLease,
			}
			record := state.PrimaryRecord{Group: "g", Term: 1, Primary: "i-1", Next: &state.Intent{Term: 2}}
			r := &replacement{s: supervisor, group: "g", lease: lease, record: record, releases: map[model.VMID]elect.Release{}}
			if c.released {
				r.releases["a"] = elect.Release{VM: "a"}
			}
			require.Equal(t, c.unchanged, r.isUnchanged(c.target))
		})
	}
}

// TestOrderIsNotSentForATargetThatStartedAgain guards against a target that starts again, with an empty log, while its order is recorded.
func TestOrderIsNotSentForATargetThatStartedAgain(t *testing.T) {
	rows := stand.NewRows()
	holder, lease := newHolder(t, rows)
	holder.cache.ApplyInstances(1, true, []model.Instance{{Name: "i-1", Group: "g"}, {Name: "i-2", Group: "g"}}, nil, clock.Now())
	again := statusDialer{"i-2": {Role: model.RoleReplica, Term: 1, Held: 1}}
	supervisor := &Supervisor{config: Config{Cache: holder.cache, Dialer: again, Log: log.New(io.Discard)}, lease: holder.coordinatorLease}
	record := state.PrimaryRecord{Group: "g", Term: 1, Primary: "i-1", Next: &state.Intent{Term: 2}}
	r := &replacement{s: supervisor, group: "g", lease: lease, record: record, releases: map[model.VMID]elect.Release{"a": {VM: "a"}}}
	// Config.Promotions is nil, so that sending the order would panic.
	require.ErrorContains(t, r.order(t.Context(), holder.cache.Snapshot().Instances["i-2"]), "not as it was when it was chosen")
	require.False(t, holder.isPending("g"))
}
