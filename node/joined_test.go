package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
)

// TestFormerPrimaryThatConfirmedUnrecordedCountsAsMissing guards against lost commits when a demoted primary confirmed commits before the store
// had it in the record of replicas: the record written at the promotion left it out, and a replica without these commits was promoted.
func TestFormerPrimaryThatConfirmedUnrecordedCountsAsMissing(t *testing.T) {
	const watched = 6 * time.Second
	s := newSite(t, 3)
	s.commit(t, 5)
	s.cluster.SetFaults("i-1", stand.DatabaseFaults{Down: true})
	recorded := func() bool {
		r := s.nodes[0].cache.Snapshot().Primaries[groupName]
		return r.Primary != "i-1" && r.Next == nil
	}
	require.Eventually(t, recorded, 8*time.Second, 5*time.Millisecond)
	s.rows.SetFaults(stand.RowsFaults{Unavailable: true})
	primary, _ := s.cluster.Primary()
	other := model.InstanceName("i-3")
	if primary == other {
		other = "i-2"
	}
	s.cluster.SetFaults(other, stand.DatabaseFaults{NoReplication: true})
	s.cluster.SetFaults("i-1", stand.DatabaseFaults{})
	require.Eventually(t, func() bool { return s.cluster.Instance("i-1").Role == model.RoleReplica }, 4*time.Second, 10*time.Millisecond)
	s.commit(t, 20)
	t.Logf("record: %+v", s.nodes[0].cache.Snapshot().Primaries[groupName])
	s.crash("i-1", primary)
	s.rows.DropHistory() // What an instance wrote during the outage, the nodes never saw.
	s.rows.SetFaults(stand.RowsFaults{})
	time.Sleep(watched)
	t.Logf("record: %+v", s.nodes[0].cache.Snapshot().Primaries[groupName])
	p, term := s.cluster.Primary()
	t.Logf("primary %s term %d", p, term)
	require.Empty(t, s.cluster.LostCommits())
}
