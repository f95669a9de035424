package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
)

// TestAuditFindsLostRefusedAndRepeatedWrites violates each invariant of writes once.
func TestAuditFindsLostRefusedAndRepeatedWrites(t *testing.T) {
	for name, c := range map[string]struct {
		times     int
		outcome   outcome
		violation string
	}{
		"acknowledged and committed": {1, outcomeAcked, ""},
		"refused and not committed":  {0, outcomeRefused, ""},
		"unknown and committed":      {1, outcomeUnknown, ""},
		"unknown and not committed":  {0, outcomeUnknown, ""},
		"acknowledged and lost":      {0, outcomeAcked, "lost"},
		"refused and committed":      {1, outcomeRefused, "kept"},
		"acknowledged, run twice":    {2, outcomeAcked, "twice"},
		"unknown, run twice":         {2, outcomeUnknown, "twice"},
	} {
		t.Run(name, func(t *testing.T) {
			members := []model.Instance{
				{Name: "i-1", Group: "g", Role: model.RolePrimary, Slots: 3}, {Name: "i-2", Group: "g", Role: model.RoleReplica, Slots: 3},
			}
			cluster := stand.NewCluster(stand.ClusterConfig{Group: "g", Instances: members})
			conn, err := cluster.Dial(time.Now().Add(time.Second), members[0], "t")
			require.NoError(t, err)
			stop := make(chan struct{})
			defer close(stop)
			go func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(time.Millisecond):
						cluster.Replicate(time.Now())
					}
				}
			}()
			for range c.times {
				_, err := conn.Exchange(time.Now().Add(time.Second), model.Query{ID: "w", Text: "WRITE item 1"})
				require.NoError(t, err)
			}
			s := &site{history: newHistory(), clusters: []*stand.Cluster{cluster}, orders: stand.NewOrders(1)}
			s.history.recordWrite("item", "w", "1")
			s.history.recordOutcome("item", "w", c.outcome)
			s.audit()
			if c.violation == "" {
				require.Empty(t, s.history.violations)
				return
			}
			require.Len(t, s.history.violations, 1)
			require.Contains(t, s.history.violations[0], c.violation)
		})
	}
}

// TestCommitThatAPromotionCutsOffIsAViolation guards against a check that excuses a commit whose caller was not told that it succeeded: its instance
// had acknowledged it. In seed 51 a promotion removed three such commits.
func TestCommitThatAPromotionCutsOffIsAViolation(t *testing.T) {
	for _, answered := range []outcome{outcomeAcked, outcomeUnknown} {
		members := []model.Instance{
			{Name: "i-1", Group: "g", Role: model.RolePrimary, Slots: 3},
			{Name: "i-2", Group: "g", Role: model.RoleReplica, Slots: 3},
			{Name: "i-3", Group: "g", Role: model.RoleReplica, Slots: 3},
		}
		cluster := stand.NewCluster(stand.ClusterConfig{Group: "g", Instances: members})
		cluster.SetFaults("i-3", stand.DatabaseFaults{NoReplication: true})
		conn, err := cluster.Dial(time.Now().Add(time.Second), members[0], "t")
		require.NoError(t, err)
		go func() {
			time.Sleep(20 * time.Millisecond)
			cluster.Replicate(time.Now())
		}()
		_, err = conn.Exchange(time.Now().Add(time.Second), model.Query{ID: "w", Text: "WRITE item 1"})
		require.NoError(t, err)
		require.NoError(t, cluster.Promote(t.Context(), model.PromoteOrder{Group: "g", Target: "i-3", Fence: 1}))
		require.Eventually(t, func() bool { name, _ := cluster.Primary(); return name == "i-3" }, time.Second, time.Millisecond)
		s := &site{history: newHistory(), clusters: []*stand.Cluster{cluster}, orders: stand.NewOrders(1)}
		s.history.recordWrite("item", "w", "1")
		s.history.recordOutcome("item", "w", answered)
		s.history.mu.Lock()
		s.checkPromotions()
		s.history.mu.Unlock()
		require.Len(t, s.history.violations, 1, answered)
	}
}

// TestAuditAwaitsThePrimaryOfEachGroup guards against an audit during a planned switch: with no primary there is no log to compare, and all
// writes of the group counted as lost.
func TestAuditAwaitsThePrimaryOfEachGroup(t *testing.T) {
	member := model.Instance{Name: "i-1", Group: "g", Role: model.RoleReplica, Slots: 3}
	s := &site{history: newHistory(), clusters: []*stand.Cluster{stand.NewCluster(stand.ClusterConfig{Group: "g", Instances: []model.Instance{member}})}}
	require.False(t, s.havePrimaries())
	require.NoError(t, s.clusters[0].Promote(t.Context(), model.PromoteOrder{Group: "g", Target: "i-1", Fence: 1}))
	s.awaitPrimaries(t.Context())
	require.Empty(t, s.history.violations)
	require.True(t, s.havePrimaries())
}

// TestAuditDuringASwitchFindsWhatIsKept guards against writes that count as lost although they are kept: a planned switch began after the audit
// had, and for a moment its group had no primary.
func TestAuditDuringASwitchFindsWhatIsKept(t *testing.T) {
	members := []model.Instance{{Name: "i-1", Group: "g", Role: model.RolePrimary}, {Name: "i-2", Group: "g", Role: model.RoleReplica}}
	cluster := stand.NewCluster(stand.ClusterConfig{Group: "g", Instances: members, PromoteTime: 100 * time.Millisecond})
	conn, err := cluster.Dial(time.Now().Add(time.Second), members[0], "t")
	require.NoError(t, err)
	go func() {
		time.Sleep(20 * time.Millisecond)
		cluster.Replicate(time.Now())
	}()
	_, err = conn.Exchange(time.Now().Add(time.Second), model.Query{ID: "w", Text: "WRITE item 1"})
	require.NoError(t, err)
	_, err = conn.Demote(time.Now().Add(time.Second), 2)
	require.NoError(t, err)
	s := &site{history: newHistory(), clusters: []*stand.Cluster{cluster}, orders: stand.NewOrders(1)}
	s.history.recordWrite("item", "w", "1")
	s.history.recordOutcome("item", "w", outcomeAcked)
	require.False(t, s.havePrimaries())
	require.NoError(t, cluster.Promote(t.Context(), model.PromoteOrder{Group: "g", Target: "i-2", Fence: 1}))
	s.audit()
	require.Empty(t, s.history.violations)
}
