package node

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
	"github.com/crocusshore/crocusshore/state"
)

// addSilentVM registers a VM that confirms nothing, so that replacements wait until its leases have ended.
func (s *site) addSilentVM(t *testing.T) {
	t.Helper()
	address := newAddress()
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(address, port) }
	row, err := state.VM{Name: "vm-silent", Domain: "a", Peers: at(peersPort), Gossip: at(firstPort), Boot: "boot"}.Row()
	require.NoError(t, err)
	s.rows.Put(row.Table, row.Key, row.Value)
	require.Eventually(t, func() bool { return len(s.nodes[0].cache.Snapshot().VMs) == len(s.nodes)+1 }, 3*time.Second, 10*time.Millisecond)
}

// TestTargetOfAHandoverThatStartedAgainIsNotPromoted guards against lost commits at a planned replacement: the target was chosen when the old
// primary was demoted, started again while the leases of a silent VM ran out, and was promoted with an empty log.
func TestTargetOfAHandoverThatStartedAgainIsNotPromoted(t *testing.T) {
	s := newSite(t, 3)
	s.commit(t, 20)
	s.addSilentVM(t)
	i := s.cluster.Instance("i-1")
	s.announce(i, "draining")
	require.Eventually(t, func() bool { return s.cluster.Instance("i-1").Role == model.RoleReplica }, 6*time.Second, 5*time.Millisecond, "demoted")
	s.announce(s.cluster.Restart("i-2", time.Now()), "ready")
	require.Eventually(t, func() bool { p, term := s.cluster.Primary(); return p != "" && term == 2 }, 14*time.Second, 10*time.Millisecond)
	p, _ := s.cluster.Primary()
	t.Logf("promoted: %s", p)
	require.Empty(t, s.cluster.LostCommits())
}

// TestLeavingPrimaryThatStartedAgainIsNotTheEndOfTheLog guards against lost commits at a planned replacement: the old primary had started again
// before it was registered anew, and its empty log was taken for all that there is, so that a replica without the last commits was promoted.
func TestLeavingPrimaryThatStartedAgainIsNotTheEndOfTheLog(t *testing.T) {
	const watched = 6 * time.Second
	s := newSite(t, 3)
	s.cluster.SetFaults("i-2", stand.DatabaseFaults{NoReplication: true})
	s.commit(t, 20)
	former := s.cluster.Instance("i-1")
	s.cluster.Restart("i-1", time.Now())
	s.announce(former, "draining")
	require.Eventually(t, func() bool { p, _ := s.cluster.Primary(); return p != "" }, watched, 5*time.Millisecond)
	p, _ := s.cluster.Primary()
	require.Equal(t, model.InstanceName("i-3"), p)
	require.Empty(t, s.cluster.LostCommits())
}
