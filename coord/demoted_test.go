package coord

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/model"
)

type (
	// demotingDialer opens connections to instances that answer every command with their state, as one does to which it does not apply.
	demotingDialer struct{ changingDialer }

	demotableConn struct{ pausableConn }
)

func (d *demotingDialer) Dial(deadline time.Time, instance model.Instance, team model.TeamName) (model.InstanceConn, error) {
	conn, err := d.changingDialer.Dial(deadline, instance, team)
	if err != nil {
		return nil, err
	}
	return &demotableConn{*conn.(*pausableConn)}, nil
}

func (c *demotableConn) Demote(time.Time, model.Term) (model.InstanceState, error) {
	return c.state, nil
}

func (c *demotableConn) Resume(time.Time) (model.InstanceState, error) { return c.state, nil }

// TestPrimaryThatStaysOneIsNotHandedOverFrom guards against a second promotion: an earlier order promoted the old primary, which did not answer when the
// run looked for it. DEMOTE does not apply to the primary of its term, and its answer was taken for that of a demotion.
func TestPrimaryThatStaysOneIsNotHandedOverFrom(t *testing.T) {
	for name, c := range map[string]struct {
		old        model.InstanceState
		handedOver bool
	}{
		"leads the announced term": {old: leadsTerm2},
		"is a replica by now":      {old: pausedForTerm2, handedOver: true},
	} {
		t.Run(name, func(t *testing.T) {
			replica := model.InstanceState{Role: model.RoleReplica, Term: c.old.Term, Held: 2, Received: c.old.Received}
			dialer := &demotingDialer{changingDialer{states: map[model.InstanceName]model.InstanceState{"i-1": c.old, "i-2": replica, "i-3": replica}}}
			r, _ := newResumedRun(t, dialer)
			r.old, r.oldKnown, r.planned, r.answered = r.s.config.Cache.Snapshot().Instances["i-1"], true, true, true
			err := r.handOver(t.Context())
			require.Equal(t, c.handedOver, err == nil)
			require.Equal(t, c.handedOver, r.handedOver)
			_, found := elect.FindCaughtUp(r.callReplicas(model.InstanceConn.Status), c.old.Received)
			require.True(t, found, "a replica could take over")
		})
	}
}

// TestInstanceThatLeadsIsTheTargetOfAHandover guards against an order for a second instance: the old primary is a replica not by DEMOTE, but since it
// follows one that an earlier order promoted, and the others have all that it has.
func TestInstanceThatLeadsIsTheTargetOfAHandover(t *testing.T) {
	dialer := &demotingDialer{changingDialer{states: map[model.InstanceName]model.InstanceState{"i-1": followsTerm2, "i-2": followsTerm2, "i-3": leadsTerm2}}}
	r, _ := newResumedRun(t, dialer)
	r.old, r.oldKnown, r.planned, r.answered = r.s.config.Cache.Snapshot().Instances["i-1"], true, true, true
	require.NoError(t, r.handOver(t.Context()))
	target, found := r.handOverTarget()
	require.True(t, found)
	require.Equal(t, model.InstanceName("i-3"), target.Name)
}
