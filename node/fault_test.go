package node

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
)

// serves reports whether a write through a node succeeds.
func (s *site) serves(node int) bool {
	c, err := s.dial(node, "revise", "key-1")
	if err != nil {
		return false
	}
	defer func() { _ = c.conn.Close() }()
	_, _, end, err := c.ask("WRITE probe x")
	return err == nil && strings.HasPrefix(end, "DONE")
}

func TestWritesRecoverAfterThePrimaryFails(t *testing.T) {
	for name, fault := range map[string]stand.DatabaseFaults{
		"crash":       {Down: true},
		"unreachable": {Unresponsive: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 3)
			w := s.startWorkload()
			time.Sleep(300 * time.Millisecond)
			s.cluster.SetFaults("i-1", fault)
			require.Eventually(t, func() bool { p, term := s.cluster.Primary(); return p != "i-1" && term == 2 }, 8*time.Second, 10*time.Millisecond)
			require.Eventually(t, func() bool { return s.serves(0) && s.serves(1) && s.serves(2) }, 3*time.Second, 20*time.Millisecond)
			s.cluster.SetFaults("i-1", stand.DatabaseFaults{})
			time.Sleep(200 * time.Millisecond)
			w.finish(t, s)
		})
	}
}

func TestPlannedReplacementLeavesNoOutcomeUnknown(t *testing.T) {
	s := newSite(t, 3)
	w := s.startWorkload()
	time.Sleep(300 * time.Millisecond)
	s.announce(model.Instance{Name: "i-1", Group: groupName, Domain: "a", Slots: 3, Role: model.RolePrimary, Address: netip.MustParseAddrPort("10.0.0.1:5000")}, "draining")
	require.Eventually(t, func() bool { p, _ := s.cluster.Primary(); return p != "" && p != "i-1" }, 4*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool { return s.serves(0) && s.serves(1) && s.serves(2) }, 3*time.Second, 20*time.Millisecond)
	w.finish(t, s)
	require.Empty(t, w.unknown, "a planned replacement waits for answers in flight, so that every outcome is known")
}

func TestReplicaWithoutReplicationIsNotPromoted(t *testing.T) {
	s := newSite(t, 3)
	w := s.startWorkload()
	s.cluster.SetFaults("i-2", stand.DatabaseFaults{NoReplication: true})
	time.Sleep(300 * time.Millisecond)
	s.cluster.SetFaults("i-1", stand.DatabaseFaults{Down: true})
	require.Eventually(t, func() bool { p, _ := s.cluster.Primary(); return p == "i-3" }, 8*time.Second, 10*time.Millisecond, "only i-3 has every acknowledged commit")
	s.cluster.SetFaults("i-2", stand.DatabaseFaults{})
	require.Eventually(t, func() bool { return s.serves(0) }, 3*time.Second, 20*time.Millisecond)
	w.finish(t, s)
}

func TestWritesContinueWithoutTheStore(t *testing.T) {
	s := newSite(t, 3)
	w := s.startWorkload()
	time.Sleep(500 * time.Millisecond)
	s.rows.SetFaults(stand.RowsFaults{Unavailable: true})
	time.Sleep(2 * leaseTTL)
	require.True(t, s.serves(0) && s.serves(1) && s.serves(2), "replicas that are not paused keep the leases valid")
	s.rows.SetFaults(stand.RowsFaults{})
	time.Sleep(300 * time.Millisecond)
	require.True(t, s.serves(0))
	w.finish(t, s)
}

func TestSettingsReachANodeThatTheStoreRejects(t *testing.T) {
	s := newSite(t, 3)
	s.rows.SetFaults(stand.RowsFaults{UnavailableFor: map[string]bool{"vm-1": true}})
	time.Sleep(700 * time.Millisecond)
	s.putSettings(2, `"key-2"`)
	require.Eventually(t, func() bool { return s.nodes[1].cache.Snapshot().Policy.Version == 2 }, 3*time.Second, 10*time.Millisecond,
		"peers forward the settings")
	_, err := s.dial(1, "revise", "key-1")
	require.ErrorContains(t, err, "NOAUTH")
	_, err = s.dial(1, "revise", "key-2")
	require.NoError(t, err)
}

func TestPrimaryIsReplacedWhileTheStoreLosesAnswersAndItsHistory(t *testing.T) {
	s := newSite(t, 3)
	w := s.startWorkload()
	s.rows.SetFaults(stand.RowsFaults{LostAnswerShare: 0.5, Latency: 5 * time.Millisecond})
	s.cluster.SetFaults("i-1", stand.DatabaseFaults{Down: true})
	time.Sleep(200 * time.Millisecond)
	s.rows.DropHistory()
	require.Eventually(t, func() bool { p, _ := s.cluster.Primary(); return p != "" && p != "i-1" }, 20*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool { return s.serves(0) && s.serves(1) && s.serves(2) }, 15*time.Second, 20*time.Millisecond)
	w.finish(t, s)
}
