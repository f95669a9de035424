package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/platform"
	"github.com/crocusshore/crocusshore/stand"
)

// TestGroupRecoversWhenThePrimaryReturnsUnderAnotherName guards against a group that stays without a primary: the primary
// crashed while a replica was unreachable, so that no replica could be promoted, and restarted with its log under another name, as primary
// of its term. It was taken for a replica that cannot be paused.
func TestGroupRecoversWhenThePrimaryReturnsUnderAnotherName(t *testing.T) {
	s := newSite(t, 3)
	w := s.startWorkload()
	time.Sleep(100 * time.Millisecond)
	s.cluster.SetFaults("i-3", stand.DatabaseFaults{NoReplication: true})
	time.Sleep(300 * time.Millisecond)
	s.cluster.SetFaults("i-2", stand.DatabaseFaults{Unresponsive: true})
	s.cluster.SetFaults("i-1", stand.DatabaseFaults{Down: true})
	time.Sleep(1500 * time.Millisecond)
	s.rows.Delete(platform.TableInstances, "i-1")
	time.Sleep(2500 * time.Millisecond)
	require.False(t, s.serves(0), "only i-1 and i-2 have the commits that were acknowledged last")
	s.announce(s.cluster.Rename("i-1", "i-9"), "ready")
	s.cluster.SetFaults("i-3", stand.DatabaseFaults{})
	require.Eventually(t, func() bool { return s.serves(0) && s.serves(1) && s.serves(2) }, 8*time.Second, 20*time.Millisecond)
	s.cluster.SetFaults("i-2", stand.DatabaseFaults{})
	w.finish(t, s)
}

// TestPrimaryThatRegistersAgainDuringItsReplacementServes guards against a group that stays without a primary for the rest of a run: the run had
// begun while the primary was not registered, no replica could take over, and it looked for the primary under other names only. Another VM
// continued it six seconds later.
func TestPrimaryThatRegistersAgainDuringItsReplacementServes(t *testing.T) {
	const begun, soon, watched = 5 * time.Second, 2500 * time.Millisecond, 4 * time.Second
	s := newSite(t, 3)
	s.commit(t, 5)
	s.crash("i-1", "i-2")
	s.restartAll() // The new processes don't know the primary.
	time.Sleep(begun)
	s.cluster.SetFaults("i-1", stand.DatabaseFaults{})
	s.announce(s.cluster.Instance("i-1"), "ready")
	require.Eventually(t, func() bool { return s.serves(0) }, soon, 20*time.Millisecond)
	require.Never(t, func() bool { return !s.serves(0) }, watched, 100*time.Millisecond, "no run that was overtaken pauses the replicas again")
}

// TestPrimaryThatReturnsUnderAnotherNameDuringItsReplacementServes guards against a group that stays without a primary for the rest of a run: the run
// had begun while the primary that crashed was still registered, and it did not look for the primary under other names.
func TestPrimaryThatReturnsUnderAnotherNameDuringItsReplacementServes(t *testing.T) {
	const begun, soon = 2 * time.Second, 3 * time.Second
	s := newSite(t, 3)
	s.cluster.SetFaults("i-3", stand.DatabaseFaults{NoReplication: true})
	s.commit(t, 5)
	s.crash("i-2")
	s.cluster.SetFaults("i-1", stand.DatabaseFaults{Down: true})
	time.Sleep(begun)
	s.lapse("i-1")
	time.Sleep(begun)
	s.cluster.SetFaults("i-3", stand.DatabaseFaults{})
	s.announce(s.cluster.Rename("i-1", "i-9"), "ready")
	require.Eventually(t, func() bool { return s.serves(0) }, soon, 20*time.Millisecond)
}

// TestReplacementContinuedByAnotherVMEndsHere guards against replicas that are paused for nobody: a run that waited for a missing replica went on
// when another VM had continued the replacement, and paused the replicas again that the other VM had resumed.
func TestReplacementContinuedByAnotherVMEndsHere(t *testing.T) {
	const begun, watched = 4 * time.Second, time.Second
	s := newSite(t, 3)
	s.cluster.SetFaults("i-3", stand.DatabaseFaults{NoReplication: true})
	s.commit(t, 5)
	s.crash("i-1", "i-2")
	time.Sleep(begun)
	deadline := time.Now().Add(2 * watched)
	conn, err := s.cluster.Dial(deadline, s.cluster.Instance("i-3"), model.ProxyTeam)
	require.NoError(t, err)
	paused, err := conn.Status(deadline)
	require.NoError(t, err)
	require.Equal(t, model.Term(2), paused.Held, "the replacement waits for i-2")
	s.holdReplacement(t)
	time.Sleep(watched / 2)
	_, err = conn.Resume(deadline)
	require.NoError(t, err)
	time.Sleep(watched)
	resumed, err := conn.Status(deadline)
	require.NoError(t, err)
	require.Less(t, resumed.Held, model.Term(2))
}
