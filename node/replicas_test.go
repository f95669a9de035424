package node

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
	"github.com/crocusshore/crocusshore/world"
)

// TestReplicasServeReadsWhileThePrimaryIsOutOfReach replays a failure domain that is cut off with the primary in it: nobody may be
// promoted for seconds, and the replicas that are in reach were refused to readers once the last position of the primary was too old.
func TestReplicasServeReadsWhileThePrimaryIsOutOfReach(t *testing.T) {
	const oldest, watched = 2500 * time.Millisecond, 4500 * time.Millisecond
	s := newSite(t, 3)
	reader, err := s.dial(0, "quote", "key-1")
	require.NoError(t, err)
	reader.must(t, "WRITE item-1 first")
	s.holdReplacement(t)
	s.cluster.SetFaults("i-1", stand.DatabaseFaults{Dark: true})
	served, refused := 0, 0
	for start := time.Now(); time.Since(start) < watched; time.Sleep(20 * time.Millisecond) {
		_, rows, end, err := reader.ask("READ item-1")
		require.NoError(t, err)
		if !strings.HasPrefix(end, "DONE") {
			refused++
			continue
		}
		require.Equal(t, []string{"first"}, rows)
		if time.Since(start) > oldest+500*time.Millisecond {
			served++
		}
	}
	t.Logf("%d served after the last position of the primary was too old, %d refused", served, refused)
	p, _ := s.cluster.Primary()
	require.Equal(t, model.InstanceName("i-1"), p, "nobody was promoted meanwhile")
	require.Positive(t, served)
	require.LessOrEqual(t, refused, served/20)
}

// holdReplacement keeps the nodes from promoting for some seconds: another VM has announced that it does.
func (s *site) holdReplacement(t *testing.T) {
	t.Helper()
	row, err := world.PrimaryRecord{
		Group: groupName, Term: 1, Primary: "i-1", Next: &world.Intent{Term: 2, Holder: "vm-elsewhere", Fence: 1 << 40},
	}.Row()
	require.NoError(t, err)
	s.rows.Put(row.Table, row.Key, row.Value)
}
