package stand

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

// TestCommitAtAReplacedPrimaryIsRecorded makes a commit before and after a promotion, and acknowledges it before or after.
func TestCommitAtAReplacedPrimaryIsRecorded(t *testing.T) {
	const followDelay = time.Second
	for name, c := range map[string]struct {
		// committed and acknowledged tell whether the promotion comes before the commit and before the acknowledgement.
		promotedFirst, ackedFirst bool
		target                    model.InstanceName
		late, cutOff              int
	}{
		"before it, the target has it":       {ackedFirst: true, target: "b"},
		"before it, the target lacks it":     {ackedFirst: true, target: "c", cutOff: 1},
		"before it, acknowledged after it":   {target: "c", cutOff: 1},
		"after it, at the replaced instance": {promotedFirst: true, target: "c", late: 1, cutOff: 1},
	} {
		t.Run(name, func(t *testing.T) {
			cluster, instances := newTestCluster()
			cluster.config.FollowDelay, cluster.config.StepDownDelay = followDelay, followDelay
			cluster.SetFaults("c", DatabaseFaults{NoReplication: true})
			promote := func() { cluster.becomePrimary(cluster.databases[c.target]) }
			if c.promotedFirst {
				promote()
			}
			conn, err := cluster.Dial(time.Now().Add(time.Second), instances[0], "team")
			require.NoError(t, err)
			done := make(chan error, 1)
			go func() {
				_, err := conn.Exchange(time.Now().Add(time.Second), model.Query{ID: "w", Text: "WRITE item x"})
				done <- err
			}()
			require.Eventually(t, func() bool { return cluster.CommitCount("w") == 1 || c.promotedFirst }, time.Second, time.Millisecond)
			if !c.ackedFirst && !c.promotedFirst {
				promote()
			}
			require.Eventually(t, func() bool { cluster.Replicate(time.Now()); return len(done) > 0 }, time.Second, time.Millisecond)
			require.NoError(t, <-done)
			if c.ackedFirst {
				promote()
			}
			require.Len(t, cluster.LateCommits(), c.late)
			require.Len(t, cluster.CutOffs(), c.cutOff)
		})
	}
}

// TestReplicasFollowTheOldPrimaryForAWhile requires that a replica receives from the old primary until FollowDelay is over, and not later.
func TestReplicasFollowTheOldPrimaryForAWhile(t *testing.T) {
	const followDelay = 50 * time.Millisecond
	cluster, _ := newTestCluster()
	cluster.config.FollowDelay, cluster.config.StepDownDelay = followDelay, time.Second
	cluster.becomePrimary(cluster.databases["c"])
	old, replica := cluster.databases["a"], cluster.databases["b"]
	old.log = commitLog{entries: []commit{{mark: model.Mark{Term: 1, Position: 1}}}}
	cluster.Replicate(cluster.promotedAt)
	require.Len(t, replica.log.entries, 1)
	cluster.Replicate(cluster.promotedAt.Add(followDelay))
	require.Empty(t, replica.log.entries)
	require.Equal(t, model.Term(2), replica.term)
}

// TestPauseLastsUntilTheReplicaKnowsOfThePromotion guards against a stand-in that acknowledges, at a replaced primary, what a paused replica
// could not have received.
func TestPauseLastsUntilTheReplicaKnowsOfThePromotion(t *testing.T) {
	const followDelay = 50 * time.Millisecond
	cluster, _ := newTestCluster()
	cluster.config.FollowDelay, cluster.config.StepDownDelay = followDelay, time.Second
	old, replica := cluster.databases["a"], cluster.databases["b"]
	replica.pausedTerm = 2
	old.log.add(commit{mark: model.Mark{Term: 1, Position: 1}})
	cluster.becomePrimary(cluster.databases["c"])
	cluster.Replicate(cluster.promotedAt)
	require.Empty(t, replica.log.entries)
	require.Equal(t, model.Term(2), replica.pausedTerm)
	cluster.Replicate(cluster.promotedAt.Add(followDelay))
	require.Zero(t, replica.pausedTerm)
	require.Equal(t, model.Term(2), replica.term)
}
