package node

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
	"github.com/crocusshore/crocusshore/state"
)

// TestReplicasServeReadsWhileThePrimaryIsUnreachable guards against rejected reads while reachable replicas could serve them. With the
// failure domain of the primary isolated, no replica may be promoted for seconds, and reads were rejected once the last position of the
// primary was too old.
func TestReplicasServeReadsWhileThePrimaryIsUnreachable(t *testing.T) {
	const maxStaleness, watched = 2500 * time.Millisecond, 4500 * time.Millisecond
	s := newSite(t, 3)
	reader, err := s.dial(0, "quote", "key-1")
	require.NoError(t, err)
	reader.must(t, "WRITE item-1 first")
	s.holdReplacement(t)
	s.cluster.SetFaults("i-1", stand.DatabaseFaults{Unresponsive: true})
	served, rejected := 0, 0
	for start := time.Now(); time.Since(start) < watched; time.Sleep(20 * time.Millisecond) {
		_, rows, end, err := reader.ask("READ item-1")
		require.NoError(t, err)
		if !strings.HasPrefix(end, "DONE") {
			rejected++
			continue
		}
		require.Equal(t, []string{"first"}, rows)
		if time.Since(start) > maxStaleness+500*time.Millisecond {
			served++
		}
	}
	t.Logf("%d served after the last position of the primary was too old, %d rejected", served, rejected)
	p, _ := s.cluster.Primary()
	require.Equal(t, model.InstanceName("i-1"), p, "no replica was promoted meanwhile")
	require.Positive(t, served)
	require.LessOrEqual(t, rejected, served/20)
}

// holdReplacement keeps the nodes from promoting for some seconds: another VM has announced that it replaces the primary.
func (s *site) holdReplacement(t *testing.T) {
	t.Helper()
	record := s.nodes[0].cache.Snapshot().Primaries[groupName]
	record.Next = &state.Intent{Term: 2, Holder: "vm-elsewhere", Fence: 1 << 40}
	row, err := record.Row()
	require.NoError(t, err)
	s.rows.Put(row.Table, row.Key, row.Value)
}
