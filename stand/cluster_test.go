package stand

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

func newTestCluster() (*Cluster, []model.Instance) {
	var instances []model.Instance
	for i, name := range []model.InstanceName{"a", "b", "c"} {
		role := model.RoleReplica
		if i == 0 {
			role = model.RolePrimary
		}
		instances = append(instances, model.Instance{Name: name, Group: "g", Role: role, Address: netip.MustParseAddrPort("10.0.0.1:1")})
	}
	return NewCluster(ClusterConfig{Group: "g", Instances: instances, PromoteTime: time.Millisecond, StepDownDelay: time.Millisecond}), instances
}

// commitOne commits a write that only replica b receives.
func commitOne(t *testing.T, c *Cluster, instances []model.Instance) {
	t.Helper()
	c.SetFaults("c", DatabaseFaults{NoReplication: true})
	conn, err := c.Dial(time.Now().Add(time.Second), instances[0], "team")
	require.NoError(t, err)
	defer conn.Close()
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exchange(time.Now().Add(time.Second), model.Query{ID: "w", Text: "WRITE item x"})
		done <- err
	}()
	require.Eventually(t, func() bool {
		c.Replicate(time.Now())
		return len(done) > 0
	}, time.Second, time.Millisecond)
	require.NoError(t, <-done)
}

func TestPromotionThatLosesACommitIsAViolation(t *testing.T) {
	c, instances := newTestCluster()
	commitOne(t, c, instances)
	require.NoError(t, c.Promote(t.Context(), model.PromoteOrder{Group: "g", Target: "c", Fence: 1}))
	require.Eventually(t, func() bool { return len(c.Violations()) > 0 }, time.Second, time.Millisecond)
}

func TestPromotionThatLosesNothingIsNoViolation(t *testing.T) {
	c, instances := newTestCluster()
	commitOne(t, c, instances)
	require.NoError(t, c.Promote(t.Context(), model.PromoteOrder{Group: "g", Target: "b", Fence: 1}))
	require.Eventually(t, func() bool { name, term := c.Primary(); return name == "b" && term == 2 }, time.Second, time.Millisecond)
	require.Empty(t, c.Violations())
	require.Equal(t, 1, c.CommitCount("w"))
}

func TestOrderUnderAnOlderFencingTokenIsAViolation(t *testing.T) {
	c, _ := newTestCluster()
	require.NoError(t, c.Promote(t.Context(), model.PromoteOrder{Group: "g", Target: "b", Fence: 2}))
	require.NoError(t, c.Promote(t.Context(), model.PromoteOrder{Group: "g", Target: "c", Fence: 1}))
	require.NotEmpty(t, c.Violations())
}

func TestPausedReplicaReceivesNothing(t *testing.T) {
	c, instances := newTestCluster()
	replica, err := c.Dial(time.Now().Add(time.Second), instances[1], "team")
	require.NoError(t, err)
	state, err := replica.Pause(time.Now().Add(time.Second), 2)
	require.NoError(t, err)
	require.Equal(t, model.Term(2), state.Held)
	before := state.Received
	primary, err := c.Dial(time.Now().Add(time.Second), instances[0], "team")
	require.NoError(t, err)
	c.SetFaults("c", DatabaseFaults{NoReplication: true})
	_, err = primary.Exchange(time.Now().Add(30*time.Millisecond), model.Query{ID: "w", Text: "WRITE item x"})
	require.Error(t, err, "no replica may confirm the commit")
	c.Replicate(time.Now())
	state, err = replica.Status(time.Now().Add(time.Second))
	require.NoError(t, err)
	require.Equal(t, before, state.Received)
	_, err = replica.Resume(time.Now().Add(time.Second))
	require.NoError(t, err)
	c.Replicate(time.Now())
	state, err = replica.Status(time.Now().Add(time.Second))
	require.NoError(t, err)
	require.Equal(t, model.Position(1), state.Received.Position)
}

// TestLostCommitIsFoundBelowTheEndOfTheLog guards against a check that overlooks a lost commit: the position of the commit is below the end of the log of
// the promoted instance, which holds another commit there.
func TestLostCommitIsFoundBelowTheEndOfTheLog(t *testing.T) {
	c, _ := newTestCluster()
	target := c.databases["b"]
	target.log = commitLog{entries: []commit{{mark: model.Mark{Term: 2, Position: 1}, writes: []write{{id: "other"}}}}}
	c.acked["other"] = model.Mark{Term: 2, Position: 1}
	c.acked["lost"] = model.Mark{Term: 1, Position: 1}
	c.becomePrimary(target)
	require.Equal(t, []model.RequestID{"lost"}, c.LostCommits())
	c.becomePrimary(target)
	require.Equal(t, []model.RequestID{"lost"}, c.LostCommits(), "recorded once")
}

// TestOldPrimaryStepsDownOnceItIsBack guards against tests that run with two primaries longer than the platform's instances would: an old
// primary that was down when its time ended stayed a primary until it was demoted.
func TestOldPrimaryStepsDownOnceItIsBack(t *testing.T) {
	c, _ := newTestCluster()
	c.SetFaults("a", DatabaseFaults{Down: true})
	require.NoError(t, c.Promote(t.Context(), model.PromoteOrder{Group: "g", Target: "b", Fence: 1}))
	require.Eventually(t, func() bool { name, _ := c.Primary(); return name == "b" }, time.Second, time.Millisecond)
	time.Sleep(20 * time.Millisecond)
	require.Equal(t, model.RolePrimary, c.Instance("a").Role, "it cannot know of the new primary")
	c.SetFaults("a", DatabaseFaults{})
	require.Eventually(t, func() bool { return c.Instance("a").Role == model.RoleReplica }, time.Second, time.Millisecond)
}

// TestCommitThatAPromotionRemovedIsNotAcknowledged guards against a check that counts a commit that no instance holds as lost. A commit that no
// replica had received waited at the old primary. The old primary became a replica of the new one, whose log reached further, and
// acknowledged the commit.
func TestCommitThatAPromotionRemovedIsNotAcknowledged(t *testing.T) {
	c, instances := newTestCluster()
	c.SetFaults("b", DatabaseFaults{NoReplication: true})
	c.SetFaults("c", DatabaseFaults{NoReplication: true})
	old, err := c.Dial(time.Now().Add(time.Second), instances[0], "team")
	require.NoError(t, err)
	defer old.Close()
	done := make(chan error, 1)
	go func() {
		_, err := old.Exchange(time.Now().Add(200*time.Millisecond), model.Query{ID: "removed", Text: "WRITE item x"})
		done <- err
	}()
	require.Eventually(t, func() bool { return c.CommitCount("removed") == 1 }, time.Second, time.Millisecond)
	c.becomePrimary(c.databases["b"])
	require.Eventually(t, func() bool { return c.Instance("a").Role == model.RoleReplica }, time.Second, time.Millisecond)
	promoted, err := c.Dial(time.Now().Add(time.Second), instances[1], "team")
	require.NoError(t, err)
	defer promoted.Close()
	go func() {
		_, _ = promoted.Exchange(time.Now().Add(time.Second), model.Query{ID: "next", Text: "WRITE item y"})
	}()
	require.Eventually(t, func() bool {
		c.Replicate(time.Now())
		return len(done) > 0
	}, time.Second, time.Millisecond)
	require.Error(t, <-done, "no instance holds the commit any more")
	c.becomePrimary(c.databases["c"])
	require.NotContains(t, c.LostCommits(), model.RequestID("removed"))
}
