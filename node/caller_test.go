package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSessionReadsWhatItWroteThroughAnyNode(t *testing.T) {
	s := newSite(t, 3)
	for node := range 3 {
		c, err := s.dial(node, "quote", "key-1")
		require.NoError(t, err)
		for i := range 10 {
			value := fmt.Sprintf("%d-%d", node, i)
			c.must(t, "WRITE item "+value)
			require.Equal(t, []string{value}, c.must(t, "READ item"))
		}
	}
}

func TestTransactionsPreparedStatementsAndValues(t *testing.T) {
	s := newSite(t, 1)
	c, err := s.dial(0, "revise", "key-1")
	require.NoError(t, err)
	c.must(t, "SET zone a")
	c.must(t, "PREPARE w WRITE q1")
	c.must(t, "PREPARE r READ q2")
	c.must(t, "BEGIN")
	c.must(t, "EXEC w item one")
	c.must(t, "ROLLBACK")
	require.Equal(t, []string{""}, c.must(t, "EXEC r item "))
	c.must(t, "BEGIN")
	c.must(t, "EXEC w item two")
	c.must(t, "COMMIT")
	require.Equal(t, []string{"two"}, c.must(t, "READ item"))
	_, _, end, err := c.ask("EXEC unknown item")
	require.NoError(t, err)
	require.Contains(t, end, "ERR NOSTMT")
	_, _, end, err = c.ask("COMMIT")
	require.NoError(t, err)
	require.Contains(t, end, "ERR BADMSG")
}

func TestKeysAndDatabasesThatDoNotExistAreRejected(t *testing.T) {
	s := newSite(t, 1)
	_, err := s.dial(0, "revise", "key-9")
	require.ErrorContains(t, err, "NOAUTH")
	_, err = s.dial(0, "nowhere", "key-1")
	require.ErrorContains(t, err, "NODB")
}

func TestRevokedKeyStopsWorkingForAnOpenSession(t *testing.T) {
	s := newSite(t, 1)
	c, err := s.dial(0, "revise", "key-1")
	require.NoError(t, err)
	c.must(t, "WRITE item a")
	s.putSettings(2, `"key-2"`)
	require.Eventually(t, func() bool { return s.nodes[0].cache.Snapshot().Policy.Version == 2 }, time.Second, 5*time.Millisecond)
	_, _, end, err := c.ask("WRITE item b")
	require.NoError(t, err)
	require.Contains(t, end, "ERR NOAUTH")
}
