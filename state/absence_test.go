package state

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

// read applies answers without changes every half second from one instant to another.
func read(cache *Cache, from, to int) {
	for ms := from; ms <= to; ms += 500 {
		cache.ApplyInstances(cache.tableVersions[instancesTable], false, nil, nil, at(ms))
	}
}

// TestAbsenceSettlesAfterAStartAndAfterAnOutage guards against taking instances for gone that have not registered again yet: a process that
// had just started, or had not read the store for a while, relied on the registrations that it read first.
func TestAbsenceSettlesAfterAStartAndAfterAnOutage(t *testing.T) {
	cache := New(Config{})
	require.False(t, cache.AbsenceSettled(at(0)), "nothing was read yet")
	cache.ApplyInstances(1, true, nil, nil, at(0))
	read(cache, 500, 3000)
	require.False(t, cache.AbsenceSettled(at(2200)))
	require.True(t, cache.AbsenceSettled(at(3000)))
	require.False(t, cache.AbsenceSettled(at(6000)), "the store was not read for three seconds")
	read(cache, 9000, 12_000)
	require.False(t, cache.AbsenceSettled(at(11_000)), "the store returned two seconds ago")
	require.True(t, cache.AbsenceSettled(at(12_000)))
}

// TestExpiredInstanceIsWaitedForWhileTheStoreIsAvailable guards against the removal of an instance that could not register again because the
// store was unavailable a second time, or that registered and expired again.
func TestExpiredInstanceIsWaitedForWhileTheStoreIsAvailable(t *testing.T) {
	cache := New(Config{})
	cache.ApplyInstances(1, true, []model.Instance{{Name: "r", Group: "g"}}, nil, at(0))
	require.Zero(t, cache.AbsenceWait(at(0), "r"), "it is registered")
	read(cache, 500, 5000)
	cache.ApplyInstances(2, false, nil, []model.InstanceName{"r"}, at(5000))
	require.Equal(t, registrationGracePeriod-time.Second, cache.AbsenceWait(at(6000), "r"))
	require.Equal(t, registrationGracePeriod, cache.AbsenceWait(at(7500), "r"), "the store was not read for 2.5 s")
	read(cache, 9000, 11_000)
	require.Equal(t, registrationGracePeriod-2*time.Second, cache.AbsenceWait(at(11_000), "r"))
	cache.ApplyInstances(3, false, []model.Instance{{Name: "r", Group: "g"}}, nil, at(11_000))
	cache.ApplyInstances(4, false, nil, []model.InstanceName{"r"}, at(11_200))
	require.Equal(t, registrationGracePeriod, cache.AbsenceWait(at(11_200), "r"))
	read(cache, 11_500, 14_000)
	require.Zero(t, cache.AbsenceWait(at(14_000), "r"))
}

// TestAbsentReplicaMayConfirmCommitsForAWhile guards against relying on the others while a replica may be cut off from the store only.
func TestAbsentReplicaMayConfirmCommitsForAWhile(t *testing.T) {
	const window = int(absentReplicaWindow / time.Millisecond)
	cache := New(Config{})
	cache.ApplyInstances(1, true, []model.Instance{{Name: "r", Group: "g"}}, nil, at(0))
	read(cache, 500, window)
	require.False(t, cache.AbsentReplicasGone(at(window-1), "g"), "the process started less than the window ago")
	require.True(t, cache.AbsentReplicasGone(at(window), "g"))
	cache.ApplyInstances(2, false, nil, []model.InstanceName{"r"}, at(window))
	require.True(t, cache.RemoveInstance(at(window+3000), "r"))
	read(cache, window, 2*window+3000)
	require.False(t, cache.AbsentReplicasGone(at(2*window), "g"))
	require.True(t, cache.AbsentReplicasGone(at(2*window+3000), "g"))
	require.False(t, cache.AbsentReplicasGone(at(2*window+6000), "g"), "the store was not read for three seconds")
}

// TestStartsSettleAfterAnAnswerAndAfterAnOutage guards against lost commits after a replica answered that had started again and was not registered
// anew yet, or could not be since the store was unavailable.
func TestStartsSettleAfterAnAnswerAndAfterAnOutage(t *testing.T) {
	c := New(Config{VM: "vm-1", Boot: "b"})
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	read := func(ms int) { c.ApplyInstances(1, true, nil, nil, at(ms)) }
	read(0)
	read(1500)
	read(3000)
	require.True(t, c.StartsSettled(at(600)))
	require.False(t, c.StartsSettled(at(800)))
	read(6000)
	require.False(t, c.StartsSettled(at(600)), "the store may have been unavailable")
	read(7900)
	require.False(t, c.StartsSettled(at(600)))
	read(8300)
	require.True(t, c.StartsSettled(at(600)))
}
