package state

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
)

// newReplicated returns the cache of a VM with a replicated group of a primary and two replicas, current at instant 0.
func newReplicated(t *testing.T) *Cache {
	t.Helper()
	cache := newRegistered(t)
	cache.SetPolicy(1, &policy.Policy{Version: 1, Groups: map[model.GroupName]policy.Group{"g": {Name: "g", Replicated: true}}})
	cache.ApplyInstances(2, false, []model.Instance{{Name: "r1", Group: "g"}, {Name: "r2", Group: "g"}}, nil, at(0))
	recordReplicas(t, cache, 6, []model.Incarnation{{Name: "r1"}, {Name: "r2"}}, at(0))
	return cache
}

// recordReplicas applies a primary record with the given replicas.
func recordReplicas(t *testing.T, cache *Cache, version int64, replicas []model.Incarnation, now time.Time) {
	t.Helper()
	row, err := PrimaryRecord{Group: "g", Term: 1, Primary: "p", Replicas: replicas}.Row()
	require.NoError(t, err)
	row.Version = version
	require.NoError(t, cache.ApplyRows(version, false, []model.StoredRow{row}, now))
}

func TestReplicaListIsCompleteAsOfTheLastAnswerOfTheStore(t *testing.T) {
	cache := newReplicated(t)
	replicas, asOf, ok := cache.Replicas("g")
	require.True(t, ok)
	require.Len(t, replicas, 2, "the primary is not among them")
	require.Equal(t, at(0), asOf)
	cache.ApplyInstances(2, false, nil, nil, at(500))
	_, asOf, _ = cache.Replicas("g")
	require.Equal(t, at(0), asOf, "a replica may have been recorded and have left since the record was read")
	require.NoError(t, cache.ApplyRows(6, false, nil, at(400)))
	_, asOf, _ = cache.Replicas("g")
	require.Equal(t, at(400), asOf, "answers without changes confirm them")
}

// TestReplicasMayLackCommitsAfterRemovalOrRestart guards against reads on replicas that lack what only another one had received: it has left or
// restarted, which a process that started since cannot remember.
func TestReplicasMayLackCommitsAfterRemovalOrRestart(t *testing.T) {
	restarted := model.Instance{Name: "r1", Group: "g", StartedAt: time.UnixMilli(7)}
	for name, c := range map[string]struct {
		change func(cache *Cache)
		after  []model.Incarnation
	}{
		"removed": {
			change: func(cache *Cache) {
				cache.ApplyInstances(3, false, nil, []model.InstanceName{"r1"}, at(1000))
				require.True(t, cache.RemoveInstance(at(1000), "r1"))
			},
			after: []model.Incarnation{{Name: "r2"}},
		},
		"restarted": {
			change: func(cache *Cache) { cache.ApplyInstances(3, false, []model.Instance{restarted}, nil, at(1000)) },
			after:  []model.Incarnation{{Name: "r2"}, restarted.Incarnation()},
		},
		"not registered again since the start of this process": {
			change: func(cache *Cache) {
				cache.ApplyInstances(3, true, []model.Instance{{Name: "p", Group: "g"}, {Name: "r2", Group: "g"}}, nil, at(1000))
				cache.RemoveInstance(at(1000), "r1")
			},
			after: []model.Incarnation{{Name: "r2"}},
		},
		"unknown": {
			change: func(cache *Cache) { recordReplicas(t, cache, 7, nil, at(1000)) },
			after:  []model.Incarnation{{Name: "r1"}, {Name: "r2"}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			cache := newReplicated(t)
			c.change(cache)
			_, _, ok := cache.Replicas("g")
			require.False(t, ok)
			recordReplicas(t, cache, 8, c.after, at(2000))
			_, _, ok = cache.Replicas("g")
			require.True(t, ok, "the others were found to hold everything")
		})
	}
}

func TestReplicasOfUnreplicatedGroupAreNotUsed(t *testing.T) {
	cache := newReplicated(t)
	cache.SetPolicy(2, &policy.Policy{Version: 2, Groups: map[model.GroupName]policy.Group{"g": {Name: "g"}}})
	_, _, ok := cache.Replicas("g")
	require.False(t, ok)
}

// TestReplicaWhoseAddressIsUsedAgainHasEnded guards against a group that cannot replace its primary for 20 s after a replica came back under another
// name: the former one was counted as one that may still confirm commits.
func TestReplicaWhoseAddressIsUsedAgainHasEnded(t *testing.T) {
	cache := New(Config{})
	address, other := netip.MustParseAddrPort("10.0.0.1:5000"), netip.MustParseAddrPort("10.0.0.2:5000")
	former := model.Instance{Name: "r", Group: "g", Address: address}
	cache.ApplyInstances(1, true, []model.Instance{former, {Name: "p", Group: "g", Address: other}}, nil, at(0))
	absent := []model.Incarnation{former.Incarnation(), {Name: "unknown"}}
	cache.ApplyInstances(2, false, nil, []model.InstanceName{"r"}, at(1000))
	require.True(t, cache.RemoveInstance(at(4000), "r"))
	require.Empty(t, cache.EndedReplicas(absent), "it may be cut off from the store")
	cache.ApplyInstances(3, false, []model.Instance{{Name: "again", Group: "g", Address: address}}, nil, at(5000))
	require.Equal(t, []model.Incarnation{former.Incarnation()}, cache.EndedReplicas(absent))
}
