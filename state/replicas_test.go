package state

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
)

// newReplicated returns the cache of a VM with a replicated group of a primary and two replicas, current at instant 0. The registrations have
// been read for long enough that no other replica is missing.
func newReplicated(t *testing.T) *Cache {
	t.Helper()
	cache := newRegistered(t)
	cache.SetPolicy(1, &policy.Policy{Version: 1, Groups: map[model.GroupName]policy.Group{"g": {Name: "g", Replicated: true}}})
	cache.ApplyInstances(2, false, []model.Instance{{Name: "r1", Group: "g"}, {Name: "r2", Group: "g"}}, nil, at(0))
	cache.instancesReadSince = at(0).Add(-registrationGracePeriod)
	return cache
}

func TestReplicaListIsCompleteAsOfTheLastAnswerOfTheStore(t *testing.T) {
	cache := newReplicated(t)
	replicas, asOf, ok := cache.Replicas(at(100), "g")
	require.True(t, ok)
	require.Len(t, replicas, 2, "the primary is not among them")
	require.Equal(t, at(0), asOf)
	cache.ApplyInstances(2, false, nil, nil, at(500))
	_, asOf, _ = cache.Replicas(at(600), "g")
	require.Equal(t, at(500), asOf, "an answer without changes confirms them")
}

func TestReplicasMayLackCommitsAfterRemovalOrRestart(t *testing.T) {
	for name, change := range map[string]func(cache *Cache){
		"removed": func(cache *Cache) {
			cache.ApplyInstances(3, false, nil, []model.InstanceName{"r1"}, at(1000))
			require.True(t, cache.RemoveInstance(at(1000), "r1"))
		},
		"restarted": func(cache *Cache) {
			cache.ApplyInstances(3, false, []model.Instance{{Name: "r1", Group: "g", StartedAt: time.UnixMilli(7)}}, nil, at(1000))
		},
	} {
		t.Run(name, func(t *testing.T) {
			cache := newReplicated(t)
			change(cache)
			_, _, ok := cache.Replicas(at(1100), "g")
			require.False(t, ok)
			_, _, ok = cache.Replicas(at(1000).Add(soleReplicaWindow), "g")
			require.True(t, ok)
		})
	}
}

func TestReplicasOfUnreplicatedGroupAreNotUsed(t *testing.T) {
	cache := newReplicated(t)
	cache.SetPolicy(2, &policy.Policy{Version: 2, Groups: map[model.GroupName]policy.Group{"g": {Name: "g"}}})
	_, _, ok := cache.Replicas(at(100), "g")
	require.False(t, ok)
}
