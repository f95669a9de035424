package coord

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/state"
)

// demotedAtTerm1 is the state of an old primary that took DEMOTE, and has all that was acknowledged.
var demotedAtTerm1 = model.InstanceState{Role: model.RoleReplica, Term: 1, Held: 1, Received: model.Mark{Term: 1, Position: 5}}

// newRunAfterDemotion returns a run that resumes a handover whose recorded replicas include one that is gone for good. The VM has started since and does
// not know what was acknowledged to it.
func newRunAfterDemotion(t *testing.T, dialer model.Dialer) *replacement {
	t.Helper()
	r, _ := newResumedRun(t, dialer)
	r.record.Replicas = []model.Incarnation{{Name: "i-2"}, {Name: "i-3"}, {Name: "i-gone"}}
	r.releases = map[model.VMID]elect.Release{"a": {VM: "a"}}
	r.old, r.oldKnown = r.s.config.Cache.Snapshot().Instances["i-1"], true
	return r
}

// chooseSoon returns what a run chooses, before it asks other VMs again.
func chooseSoon(t *testing.T, r *replacement) (model.Instance, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), askAgainInterval/2)
	defer cancel()
	return r.choose(ctx)
}

// TestInterruptedHandoverIsFinished guards against a group without a primary for good: the process that handed over ended after its DEMOTE, and a
// recorded replica is gone for good, so that the replicas alone never show that they have everything.
func TestInterruptedHandoverIsFinished(t *testing.T) {
	empty := model.InstanceState{Role: model.RoleReplica, Term: 1, Held: 1}
	further := model.InstanceState{Role: model.RoleReplica, Term: 1, Held: 2, Received: model.Mark{Term: 1, Position: 6}}
	for name, c := range map[string]struct {
		instances map[model.InstanceName]model.InstanceState
		// final is the end of the log that the intent names, if it does.
		final  model.Mark
		chosen model.InstanceName
	}{
		"a replica has the log":        {instances: map[model.InstanceName]model.InstanceState{"i-1": demotedAtTerm1, "i-2": behind, "i-3": pausedForTerm2}, chosen: "i-3"},
		"only the old primary has it":  {instances: map[model.InstanceName]model.InstanceState{"i-1": demotedAtTerm1, "i-2": behind, "i-3": behind}, chosen: "i-1"},
		"it started again":             {instances: map[model.InstanceName]model.InstanceState{"i-1": empty, "i-2": pausedForTerm2, "i-3": pausedForTerm2}},
		"it follows a later term":      {instances: map[model.InstanceName]model.InstanceState{"i-1": followsTerm2, "i-2": pausedForTerm2, "i-3": pausedForTerm2}},
		"a replica has more than it":   {instances: map[model.InstanceName]model.InstanceState{"i-1": demotedAtTerm1, "i-2": pausedForTerm2, "i-3": further}},
		"it is gone":                   {instances: map[model.InstanceName]model.InstanceState{"i-2": pausedForTerm2, "i-3": pausedForTerm2}},
		"gone, its end is recorded":    {instances: map[model.InstanceName]model.InstanceState{"i-2": behind, "i-3": pausedForTerm2}, final: demotedAtTerm1.Received, chosen: "i-3"},
		"gone, no replica has its end": {instances: map[model.InstanceName]model.InstanceState{"i-2": behind, "i-3": behind}, final: demotedAtTerm1.Received},
		"gone, a replica has more":     {instances: map[model.InstanceName]model.InstanceState{"i-2": pausedForTerm2, "i-3": further}, final: demotedAtTerm1.Received},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRunAfterDemotion(t, &demotingDialer{changingDialer{states: c.instances}})
			if c.final != (model.Mark{}) {
				r.record.Next.Final = &c.final
			}
			target, err := chooseSoon(t, r)
			require.Equal(t, c.chosen != "", err == nil, "%v", err)
			require.Equal(t, c.chosen, target.Name)
			if err == nil {
				require.True(t, r.isUnchanged(c.instances[target.Name]), "it can be ordered")
			}
		})
	}
}

// lostDemoteConn carries DEMOTE out and loses the answer.
type lostDemoteConn struct {
	demotableConn
	dialer *lostDemoteDialer
}

type lostDemoteDialer struct{ demotingDialer }

func (d *lostDemoteDialer) Dial(deadline time.Time, instance model.Instance, team model.TeamName) (model.InstanceConn, error) {
	conn, err := d.demotingDialer.Dial(deadline, instance, team)
	if err != nil {
		return nil, err
	}
	return &lostDemoteConn{demotableConn: *conn.(*demotableConn), dialer: d}, nil
}

func (c *lostDemoteConn) Demote(time.Time, model.Term) (model.InstanceState, error) {
	c.dialer.set("i-1", demotedAtTerm1)
	return model.InstanceState{}, errors.Mark(errors.New("deadline"), model.ErrNoAnswer)
}

// TestHandoverWhoseDemoteIsNotAnsweredIsFinished guards against a group without a primary: DEMOTE applied, its answer was lost, and the old primary was then
// taken for one that does not answer.
func TestHandoverWhoseDemoteIsNotAnsweredIsFinished(t *testing.T) {
	leadsTerm1 := model.InstanceState{Role: model.RolePrimary, Term: 1, Held: 1, Received: demotedAtTerm1.Received}
	dialer := &lostDemoteDialer{demotingDialer{changingDialer{states: map[model.InstanceName]model.InstanceState{
		"i-1": leadsTerm1, "i-2": pausedForTerm2, "i-3": pausedForTerm2,
	}}}}
	r := newRunAfterDemotion(t, dialer)
	r.newIntent, r.planned, r.answered = true, true, true
	_, err := chooseSoon(t, r)
	require.NoError(t, err)
}

// TestDemotionIsRecordedWhileLeasesLast guards against a group without a primary if the old primary leaves for good before another process resumes its
// handover: nothing else shows that a replica has its whole log.
func TestDemotionIsRecordedWhileLeasesLast(t *testing.T) {
	for name, released := range map[string]bool{"all VMs released it": true, "a VM has not": false} {
		t.Run(name, func(t *testing.T) {
			dialer := &demotingDialer{changingDialer{states: map[model.InstanceName]model.InstanceState{
				"i-1": demotedAtTerm1, "i-2": pausedForTerm2, "i-3": pausedForTerm2,
			}}}
			r := newRunAfterDemotion(t, dialer)
			row, err := r.record.Row()
			require.NoError(t, err)
			r.record.Version, err = r.s.config.Rows.Apply(t.Context(), model.Change{Writes: []model.StoredRow{row}})
			require.NoError(t, err)
			readRows := func() {
				page, err := r.s.config.Rows.Rows(t.Context(), state.Table)
				require.NoError(t, err)
				require.NoError(t, r.s.config.Cache.ApplyRows(page.Version, true, page.Rows, clock.Now()))
			}
			readRows()
			r.newIntent, r.planned, r.answered = true, true, true
			if !released {
				r.releases = map[model.VMID]elect.Release{}
			}
			require.NoError(t, r.handOver(t.Context()))
			require.True(t, r.handedOver)
			readRows()
			record := r.s.config.Cache.Snapshot().Primaries["g"]
			require.False(t, r.superseded(), "the run knows its own write")
			if released {
				require.Nil(t, record.Next.Final, "the promotion follows at once")
				return
			}
			require.Equal(t, &demotedAtTerm1.Received, record.Next.Final)
			require.NoError(t, r.announce(t.Context()))
			require.Equal(t, &demotedAtTerm1.Received, r.record.Next.Final, "the next run knows it as well")
		})
	}
}
