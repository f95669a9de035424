package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
)

// TestSessionEndsBeforeItsTransactionIsRolledBack guards against statements that nobody reads: the connection of a caller stayed open while its
// idle transaction was rolled back at an instance that did not answer.
func TestSessionEndsBeforeItsTransactionIsRolledBack(t *testing.T) {
	const grace = 3 * time.Second
	s := newSite(t, 2)
	s.setGrace(0, grace)
	c, err := s.dial(0, "revise", "key-1")
	require.NoError(t, err)
	c.must(t, "BEGIN")
	c.must(t, "WRITE item a")
	for _, name := range []model.InstanceName{"i-1", "i-2", "i-3"} {
		s.cluster.SetFaults(name, stand.DatabaseFaults{Unresponsive: true})
	}
	stopped := s.stopNode(t, 0)
	time.Sleep(grace/2 + 350*time.Millisecond) // A transaction in use may pause for 250 ms then.
	sentAt := time.Now()
	_, _, end, err := c.ask("READ item")
	t.Logf("%q %v after %s", end, err, time.Since(sentAt))
	require.Less(t, time.Since(sentAt), 100*time.Millisecond, "the connection has ended")
	<-stopped.reached
}
