package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
)

// TestAuditFindsCommitsAtAReplacedPrimary commits once at a primary that a promotion has replaced; it is a violation if its caller was told of
// a success, and counted whatever the caller was told.
func TestAuditFindsCommitsAtAReplacedPrimary(t *testing.T) {
	for told, c := range map[outcome]struct {
		violations int
		counts     OutcomeCounts
	}{
		outcomeAcked:   {1, OutcomeCounts{Acknowledged: 1}},
		outcomeUnknown: {0, OutcomeCounts{Unknown: 1}},
		outcomeRefused: {0, OutcomeCounts{Refused: 1}},
	} {
		t.Run(string(told), func(t *testing.T) {
			members := []model.Instance{
				{Name: "i-1", Group: "g", Role: model.RolePrimary}, {Name: "i-2", Group: "g", Role: model.RoleReplica}, {Name: "i-3", Group: "g", Role: model.RoleReplica},
			}
			cluster := stand.NewCluster(stand.ClusterConfig{Group: "g", Instances: members, FollowDelay: time.Minute, StepDownDelay: time.Minute})
			s := &site{history: newHistory(), clusters: []*stand.Cluster{cluster}, orders: stand.NewOrders(1)}
			s.orders.Add(cluster)
			require.NoError(t, s.orders.Promote(t.Context(), model.PromoteOrder{Group: "g", Target: "i-3", Holder: "vm-1", Fence: 1}))
			require.Eventually(t, func() bool { name, _ := cluster.Primary(); return name == "i-3" }, time.Second, time.Millisecond)
			conn, err := cluster.Dial(time.Now().Add(time.Second), members[0], "t")
			require.NoError(t, err)
			go func() {
				time.Sleep(20 * time.Millisecond)
				cluster.Replicate(time.Now())
			}()
			_, err = conn.Exchange(time.Now().Add(time.Second), model.Query{ID: "w", Text: "WRITE item 1"})
			require.NoError(t, err)
			s.history.recordWrite("item", "w", "1")
			s.history.recordOutcome("item", "w", told)
			s.checkOrders()
			require.Len(t, s.history.violations, c.violations)
			counts := s.countOrders()
			require.Equal(t, 1, counts.Orders)
			require.Equal(t, c.counts, counts.LateCommits)
			require.Equal(t, c.counts, counts.CutOff)
		})
	}
}

// TestAuditFindsOrdersThatBreakFencing requires that the audit reports what the promotion service found.
func TestAuditFindsOrdersThatBreakFencing(t *testing.T) {
	s := &site{history: newHistory(), orders: stand.NewOrders(1)}
	for _, fence := range []int64{2, 1} {
		require.Error(t, s.orders.Promote(t.Context(), model.PromoteOrder{Group: "unknown", Target: "i-1", Holder: "vm-1", Fence: fence}))
	}
	s.audit()
	require.Len(t, s.history.violations, 1)
	require.Contains(t, s.history.violations[0], "one: an order came under an older fencing token: token 1 of vm-1")
	require.Equal(t, 1, s.countOrders().Violations)
}
