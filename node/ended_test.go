package node

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

// TestReplicaThatReturnsUnderAnotherNameIsDroppedFromTheRecord guards against a group that cannot replace its primary for 20 s after a crash of a
// replica: its former name was counted as a replica that may still confirm commits.
func TestReplicaThatReturnsUnderAnotherNameIsDroppedFromTheRecord(t *testing.T) {
	const soon = 10 * time.Second
	s := newSite(t, 3)
	s.commit(t, 5)
	s.crash("i-2")
	recorded := func(name model.InstanceName) bool {
		return slices.ContainsFunc(s.nodes[0].cache.Snapshot().Primaries[groupName].Replicas, func(r model.Incarnation) bool { return r.Name == name })
	}
	require.True(t, recorded("i-2"))
	s.announce(s.cluster.Rename("i-2", "i-9"), "ready")
	require.Eventually(t, func() bool { return recorded("i-9") && !recorded("i-2") }, soon, 20*time.Millisecond)
}
