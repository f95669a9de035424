package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
)

// TestAuditComparesWhatIsKeptWithWhatWasTold breaks each promise about writes once.
func TestAuditComparesWhatIsKeptWithWhatWasTold(t *testing.T) {
	for name, c := range map[string]struct {
		times  int
		told   outcome
		breach string
	}{
		"kept":             {1, outcomeAcked, ""},
		"refused":          {0, outcomeRefused, ""},
		"open and kept":    {1, outcomeOpen, ""},
		"open and not":     {0, outcomeOpen, ""},
		"lost":             {0, outcomeAcked, "lost"},
		"kept though not":  {1, outcomeRefused, "kept"},
		"doubled":          {2, outcomeAcked, "twice"},
		"doubled and open": {2, outcomeOpen, "twice"},
	} {
		t.Run(name, func(t *testing.T) {
			members := []model.Instance{
				{Name: "i-1", Group: "g", Role: model.RolePrimary, Slots: 3}, {Name: "i-2", Group: "g", Role: model.RoleReplica, Slots: 3},
			}
			cluster := stand.NewCluster(stand.ClusterConfig{Group: "g", Instances: members})
			link, err := cluster.Dial(time.Now().Add(time.Second), members[0], "t")
			require.NoError(t, err)
			stop := make(chan struct{})
			defer close(stop)
			go func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(time.Millisecond):
						cluster.Pull(time.Now())
					}
				}
			}()
			for range c.times {
				_, err := link.Exchange(time.Now().Add(time.Second), model.Query{ID: "w", Text: "WRITE item 1"})
				require.NoError(t, err)
			}
			s := &site{ledger: newLedger(), clusters: []*stand.Cluster{cluster}}
			s.ledger.write("item", "w", "1")
			s.ledger.settle("item", "w", c.told)
			s.audit()
			if c.breach == "" {
				require.Empty(t, s.ledger.breaches)
				return
			}
			require.Len(t, s.ledger.breaches, 1)
			require.Contains(t, s.ledger.breaches[0], c.breach)
		})
	}
}

// TestPromotionThatCutsOffWhatACallerWasToldIsABreach replays seed 51, in which a promotion cut off three commits that the old primary
// had acknowledged to VMs which had released it; their callers were told that the outcome is open, which is no breach.
func TestPromotionThatCutsOffWhatACallerWasToldIsABreach(t *testing.T) {
	for told, breaches := range map[outcome]int{outcomeAcked: 1, outcomeOpen: 0} {
		members := []model.Instance{
			{Name: "i-1", Group: "g", Role: model.RolePrimary, Slots: 3},
			{Name: "i-2", Group: "g", Role: model.RoleReplica, Slots: 3},
			{Name: "i-3", Group: "g", Role: model.RoleReplica, Slots: 3},
		}
		cluster := stand.NewCluster(stand.ClusterConfig{Group: "g", Instances: members})
		cluster.SetFaults("i-3", stand.DatabaseFaults{Deaf: true})
		link, err := cluster.Dial(time.Now().Add(time.Second), members[0], "t")
		require.NoError(t, err)
		go func() {
			time.Sleep(20 * time.Millisecond)
			cluster.Pull(time.Now())
		}()
		_, err = link.Exchange(time.Now().Add(time.Second), model.Query{ID: "w", Text: "WRITE item 1"})
		require.NoError(t, err)
		require.NoError(t, cluster.Promote(t.Context(), model.PromoteOrder{Group: "g", Target: "i-3", Fence: 1}))
		require.Eventually(t, func() bool { name, _ := cluster.Primary(); return name == "i-3" }, time.Second, time.Millisecond)
		s := &site{ledger: newLedger(), clusters: []*stand.Cluster{cluster}}
		s.ledger.write("item", "w", "1")
		s.ledger.settle("item", "w", told)
		s.ledger.mu.Lock()
		s.checkPromotions()
		s.ledger.mu.Unlock()
		require.Len(t, s.ledger.breaches, breaches)
	}
}
