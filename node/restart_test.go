package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/peers"
	"github.com/crocusshore/crocusshore/platform"
	"github.com/crocusshore/crocusshore/stand"
)

// restartAll replaces the process of every VM by a new one, as after a kill of all processes: nothing that was in memory is left.
func (s *site) restartAll() {
	vms := len(s.nodes)
	for _, cancel := range s.cancels {
		cancel()
	}
	s.nodes, s.cancels = nil, nil
	for i := range vms {
		s.start(i)
	}
}

// commit writes through the first node until n writes are acknowledged.
func (s *site) commit(t *testing.T, n int) {
	t.Helper()
	c, err := s.dial(0, "revise", "key-1")
	require.NoError(t, err)
	defer func() { _ = c.conn.Close() }()
	for i := range n {
		c.must(t, fmt.Sprintf("WRITE item-%d x", i))
	}
}

// lapse removes the registration of an instance, which goes on running.
func (s *site) lapse(name model.InstanceName) { s.rows.Delete(platform.TableInstances, string(name)) }

// crash ends instances, which keep their logs, and removes their registrations.
func (s *site) crash(names ...model.InstanceName) {
	for _, name := range names {
		s.cluster.SetFaults(name, stand.DatabaseFaults{Down: true})
		s.lapse(name)
	}
}

// requireKept requires that an instance is the primary and that no acknowledged commit was lost.
func (s *site) requireKept(t *testing.T, name model.InstanceName) {
	t.Helper()
	primary, _ := s.cluster.Primary()
	require.Equal(t, name, primary)
	require.Empty(t, s.cluster.LostCommits())
}

// TestStartAroundAnOutageOfTheStoreKeepsTheHealthyPrimary guards against lost commits after an outage in which registrations expired:
// processes that started meanwhile took the instances that had not registered again yet for gone, and promoted the one replica that was
// registered, which lacked commits.
func TestStartAroundAnOutageOfTheStoreKeepsTheHealthyPrimary(t *testing.T) {
	const renewedAfter, watched = 1200 * time.Millisecond, 5 * time.Second
	s := newSite(t, 3)
	s.cluster.SetFaults("i-3", stand.DatabaseFaults{NoReplication: true})
	s.commit(t, 20)
	s.rows.SetFaults(stand.RowsFaults{Unavailable: true})
	s.restartAll()
	s.lapse("i-1")
	s.lapse("i-2")
	time.Sleep(300 * time.Millisecond)
	s.rows.SetFaults(stand.RowsFaults{})
	time.AfterFunc(renewedAfter, func() {
		s.announce(s.cluster.Instance("i-1"), "ready")
		s.announce(s.cluster.Instance("i-2"), "ready")
	})
	time.Sleep(watched)
	s.requireKept(t, "i-1")
	require.True(t, s.serves(0))
}

// TestRestartedProcessesRememberAReplicaThatLeft guards against lost commits after a kill of all processes: only their memory told that a replica
// had left which alone had received commits, so that the one that was left was promoted.
func TestRestartedProcessesRememberAReplicaThatLeft(t *testing.T) {
	const registrationsGone, watched = 3 * time.Second, 5 * time.Second
	s := newSite(t, 3)
	s.cluster.SetFaults("i-3", stand.DatabaseFaults{NoReplication: true})
	s.commit(t, 20)
	s.crash("i-1", "i-2")
	time.Sleep(registrationsGone)
	s.restartAll()
	time.Sleep(watched)
	s.requireKept(t, "i-1")
	s.cluster.SetFaults("i-3", stand.DatabaseFaults{})
	s.cluster.SetFaults("i-1", stand.DatabaseFaults{})
	s.announce(s.cluster.Instance("i-1"), "ready")
	require.Eventually(t, func() bool { return s.serves(0) }, 8*time.Second, 20*time.Millisecond, "the primary is back with its log")
}

// TestReplicaThatStartedAgainIsNotComplete guards against lost commits after a replica started again under its name: it holds nothing any more, and
// the other replica, which had received nothing, was promoted although commits rested on the former one alone.
func TestReplicaThatStartedAgainIsNotComplete(t *testing.T) {
	const watched = 4 * time.Second
	s := newSite(t, 3)
	s.cluster.SetFaults("i-3", stand.DatabaseFaults{NoReplication: true})
	s.commit(t, 20)
	s.cluster.SetFaults("i-1", stand.DatabaseFaults{Unresponsive: true})
	s.announce(s.cluster.Restart("i-2", time.Now()), "ready")
	time.Sleep(watched)
	s.requireKept(t, "i-1")
	s.cluster.SetFaults("i-1", stand.DatabaseFaults{})
	s.cluster.SetFaults("i-3", stand.DatabaseFaults{})
	require.Eventually(t, func() bool { return s.serves(0) }, 8*time.Second, 20*time.Millisecond, "the primary answers again")
}

// TestReplicaIsDroppedFromTheRecordOnceAnotherHasEverything guards against a group that cannot replace its primary any more because a replica has
// started again or left.
func TestReplicaIsDroppedFromTheRecordOnceAnotherHasEverything(t *testing.T) {
	s := newSite(t, 3)
	s.commit(t, 5)
	before := s.cluster.Instance("i-2").Incarnation()
	again := s.cluster.Restart("i-2", time.Now().Truncate(time.Millisecond)) // The resolution of a registration.
	s.announce(again, "ready")
	recorded := func() []model.Incarnation { return s.nodes[0].cache.Snapshot().Primaries[groupName].Replicas }
	has := func(want model.Incarnation) func() bool {
		return func() bool { return slices.ContainsFunc(recorded(), want.Equal) }
	}
	require.Eventually(t, has(again.Incarnation()), 2*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool { return !has(before)() }, 4*time.Second, 10*time.Millisecond, "i-3 has everything")
	s.cluster.SetFaults("i-1", stand.DatabaseFaults{Down: true})
	require.Eventually(t, func() bool { return s.serves(0) }, 8*time.Second, 20*time.Millisecond)
}

// TestReleaseOfARestartedVMIsNotComplete guards against lost commits after a restart of some VMs: the new process of a VM does not know what the
// former one acknowledged, and its confirmation counted as if it did.
func TestReleaseOfARestartedVMIsNotComplete(t *testing.T) {
	s := newSite(t, 2)
	s.commit(t, 5)
	request := peers.ReleaseRequest{Group: groupName, Version: 1}
	require.Eventually(t, func() bool { return s.nodes[1].Release(request).Complete }, 3*time.Second, 20*time.Millisecond)
	for _, name := range []model.InstanceName{"i-1", "i-2"} {
		s.cluster.SetFaults(name, stand.DatabaseFaults{Down: true})
	}
	s.cancels[0]()
	s.start(0)
	restarted := s.nodes[len(s.nodes)-1]
	require.Eventually(t, func() bool { return restarted.cache.Snapshot().Primaries[groupName].Version > 0 }, 3*time.Second, 10*time.Millisecond)
	require.Never(t, func() bool { return restarted.Release(request).Complete }, time.Second, 50*time.Millisecond)
	require.True(t, s.nodes[1].Release(request).Complete)
}
