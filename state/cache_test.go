package state

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
)

const leaseTTL = 3 * time.Second

func at(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }

func primaryRow(t *testing.T, version int64, term model.Term, next *Intent) model.StoredRow {
	t.Helper()
	row, err := PrimaryRecord{Group: "g", Term: term, Primary: "p", Next: next}.Row()
	require.NoError(t, err)
	row.Version = version
	return row
}

func vmRow(t *testing.T, version int64, boot model.BootID) model.StoredRow {
	t.Helper()
	row, err := VM{Name: "vm", Domain: "a", Boot: boot}.Row()
	require.NoError(t, err)
	row.Version = version
	return row
}

// newRegistered returns the cache of a VM that is registered, with a primary of group g; the table was current at instant 0.
func newRegistered(t *testing.T) *Cache {
	t.Helper()
	cache := New(Config{VM: "vm", Boot: "boot", LeaseTTL: leaseTTL})
	instance := model.Instance{Name: "p", Group: "g", Address: netip.MustParseAddrPort("10.0.0.1:1")}
	cache.ApplyInstances(1, true, []model.Instance{instance}, nil, at(0))
	require.NoError(t, cache.ApplyRows(5, true, []model.StoredRow{vmRow(t, 4, "boot"), primaryRow(t, 5, 1, nil)}, at(0)))
	return cache
}

func TestLeaseExpiresWithoutNewerEvidence(t *testing.T) {
	cache := newRegistered(t)
	lease, ok := cache.Lease(at(2999), "g")
	require.True(t, ok)
	require.Equal(t, model.Term(1), lease.Term)
	_, ok = cache.Lease(at(3000), "g")
	require.False(t, ok)
	require.NoError(t, cache.ApplyRows(5, false, nil, at(1000)))
	require.True(t, cache.LeaseValid(at(3500), lease))
}

func TestLeaseEndsWithAnIntent(t *testing.T) {
	cache := newRegistered(t)
	require.NoError(t, cache.ApplyRows(6, false, []model.StoredRow{primaryRow(t, 6, 1, &Intent{Term: 2})}, at(10)))
	_, ok := cache.Lease(at(20), "g")
	require.False(t, ok)
	require.NoError(t, cache.ApplyRows(7, false, []model.StoredRow{primaryRow(t, 7, 2, nil)}, at(30)))
	lease, ok := cache.Lease(at(40), "g")
	require.True(t, ok)
	require.Equal(t, model.Term(2), lease.Term)
}

func TestReleasedPrimaryIsNotUsedUntilTheIntentIsWithdrawn(t *testing.T) {
	cache := newRegistered(t)
	cache.Revoke("g", 6)
	// Neither a table from a peer that has not received the intent nor an answer of a replica gives a lease again.
	require.NoError(t, cache.ApplyRows(5, false, nil, at(50)))
	_, ok := cache.Lease(at(60), "g")
	require.False(t, ok)
	cache.RecordTermCheck("g", 1, at(60))
	_, ok = cache.Lease(at(70), "g")
	require.False(t, ok)
	require.NoError(t, cache.ApplyRows(8, false, []model.StoredRow{primaryRow(t, 8, 1, nil)}, at(80)))
	_, ok = cache.Lease(at(90), "g")
	require.True(t, ok, "a newer row without an intent: the replacement was cancelled")
}

func TestVMWithoutItsRowHasNoLease(t *testing.T) {
	// Only registered VMs are asked to release a primary that is replaced, so the others must not use it.
	cache := newRegistered(t)
	require.NoError(t, cache.ApplyRows(6, false, []model.StoredRow{{Table: Table, Key: "vm/vm", Version: 6, Removed: true}}, at(10)))
	_, ok := cache.Lease(at(20), "g")
	require.False(t, ok)
	require.NoError(t, cache.ApplyRows(7, false, []model.StoredRow{vmRow(t, 7, "another boot")}, at(30)))
	_, ok = cache.Lease(at(40), "g")
	require.False(t, ok)
}

// TestRecentRemovalOfAVMIsReported guards against the loss of acknowledged commits after the rows of unreachable VMs were deleted. The
// replacement of one group's primary deleted the rows of partitioned VMs. The replacement of another group's primary then counted only
// the remaining VMs, and commits that the deleted VMs had acknowledged were lost.
func TestRecentRemovalOfAVMIsReported(t *testing.T) {
	cache := newRegistered(t)
	require.False(t, cache.VMRemovedRecently(at(10)))
	require.NoError(t, cache.ApplyRows(6, false, []model.StoredRow{{Table: Table, Key: "vm/vm", Version: 6, Removed: true}}, at(10)))
	require.True(t, cache.VMRemovedRecently(at(20)))
	require.False(t, cache.VMRemovedRecently(at(10).Add(removedVMWindow)))
	reread := newRegistered(t)
	require.NoError(t, reread.ApplyRows(6, true, []model.StoredRow{primaryRow(t, 5, 1, nil)}, at(30)))
	require.True(t, reread.VMRemovedRecently(at(40)), "a full read of the table shows the removal too")
}

func TestUnpausedReplicaExtendsLeaseWithoutTheStore(t *testing.T) {
	cache := newRegistered(t)
	cache.RecordTermCheck("g", 1, at(2500))
	_, ok := cache.Lease(at(5400), "g")
	require.True(t, ok)
	cache.RecordTermCheck("g", 2, at(9000))
	_, ok = cache.Lease(at(9100), "g")
	require.False(t, ok, "a replica's answer for another term is no evidence")
}

func TestOlderRowsNeverReplaceNewerOnes(t *testing.T) {
	cache := newRegistered(t)
	require.NoError(t, cache.ApplyRows(9, false, []model.StoredRow{primaryRow(t, 9, 2, nil)}, at(10)))
	require.NoError(t, cache.ApplyRows(5, true, []model.StoredRow{primaryRow(t, 5, 1, nil)}, at(20)))
	require.Equal(t, model.Term(2), cache.Snapshot().Primaries["g"].Term)
}

func TestOlderSettingsAreIgnored(t *testing.T) {
	cache := New(Config{})
	require.True(t, cache.SetPolicy(10, &policy.Policy{Version: 7}))
	require.False(t, cache.SetPolicy(9, &policy.Policy{Version: 8}))
	require.False(t, cache.SetPolicy(11, &policy.Policy{Version: 6}))
	require.True(t, cache.SetPolicy(12, &policy.Policy{Version: 9}))
	require.Equal(t, int64(9), cache.Snapshot().Policy.Version)
}

func TestExpiredInstanceStaysUntilItIsRemoved(t *testing.T) {
	cache := newRegistered(t)
	require.Equal(t, []model.InstanceName{"p"}, cache.ApplyInstances(2, false, nil, []model.InstanceName{"p"}, at(0)))
	_, ok := cache.Lease(at(10), "g")
	require.True(t, ok)
	require.True(t, cache.RemoveInstance(at(15), "p"))
	_, ok = cache.Lease(at(20), "g")
	require.False(t, ok)
	require.Zero(t, cache.replicaRemovedAt["g"], "it was the primary")
	cache.ApplyInstances(3, false, []model.Instance{{Name: "r", Group: "g"}}, nil, at(0))
	cache.ApplyInstances(4, false, nil, []model.InstanceName{"r"}, at(0))
	require.True(t, cache.RemoveInstance(at(15), "r"))
	require.Equal(t, at(15), cache.replicaRemovedAt["g"])
	cache.ApplyInstances(5, false, []model.Instance{{Name: "p", Group: "g"}}, nil, at(0))
	require.False(t, cache.RemoveInstance(at(15), "p"), "it has registered again")
}

func TestUndecodableRowsAreReported(t *testing.T) {
	cache := newRegistered(t)
	err := cache.ApplyRows(6, false, []model.StoredRow{
		{Key: "lead/g", Value: []byte("{"), Version: 6},
		{Key: "vm/x", Value: []byte("7"), Version: 6},
		{Key: KeyCoordinator, Value: []byte("[]"), Version: 6},
		{Key: "what", Version: 6},
	}, at(10))
	require.ErrorContains(t, err, "lead/g")
	require.ErrorContains(t, err, "what")
	require.Equal(t, model.Term(1), cache.Snapshot().Primaries["g"].Term, "the older row stays in effect")
}
