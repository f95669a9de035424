package state

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
)

// newReplicated returns the state of a VM with a replicated group of a primary and two replicas, current at instant 0.
func newReplicated(t *testing.T) *Cache {
	t.Helper()
	w := newRegistered(t)
	w.SetPolicy(1, &policy.Policy{Version: 1, Groups: map[model.GroupName]policy.Group{"g": {Name: "g", Replicated: true}}})
	w.ApplyInstances(2, false, []model.Instance{{Name: "r1", Group: "g"}, {Name: "r2", Group: "g"}}, nil, at(0))
	return w
}

func TestReplicasAreCompleteAsOfTheLastConfirmation(t *testing.T) {
	w := newReplicated(t)
	replicas, asOf, ok := w.Replicas(at(100), "g")
	require.True(t, ok)
	require.Len(t, replicas, 2, "the primary is not among them")
	require.Equal(t, at(0), asOf)
	w.ApplyInstances(2, false, nil, nil, at(500))
	_, asOf, _ = w.Replicas(at(600), "g")
	require.Equal(t, at(500), asOf, "an answer without changes confirms them")
}

func TestReplicasMayLackCommitsAfterRemovalOrRestart(t *testing.T) {
	for name, change := range map[string]func(w *Cache){
		"removed": func(w *Cache) {
			w.ApplyInstances(3, false, nil, []model.InstanceName{"r1"}, at(1000))
			require.True(t, w.RemoveInstance(at(1000), "r1"))
		},
		"restarted": func(w *Cache) {
			w.ApplyInstances(3, false, []model.Instance{{Name: "r1", Group: "g", StartedAt: time.UnixMilli(7)}}, nil, at(1000))
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newReplicated(t)
			change(w)
			_, _, ok := w.Replicas(at(1100), "g")
			require.False(t, ok)
			_, _, ok = w.Replicas(at(1000).Add(soleReplicaWindow), "g")
			require.True(t, ok)
		})
	}
}

func TestReplicasOfUnreplicatedGroupAreNotUsed(t *testing.T) {
	w := newReplicated(t)
	w.SetPolicy(2, &policy.Policy{Version: 2, Groups: map[model.GroupName]policy.Group{"g": {Name: "g"}}})
	_, _, ok := w.Replicas(at(100), "g")
	require.False(t, ok)
}
