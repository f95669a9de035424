package node

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
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
