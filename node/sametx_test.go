package node

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTransactionsAreServedWhileTheLogStandsStill guards against transactions that are refused because the answer to their BEGIN is the same as that to
// an earlier one.
func TestTransactionsAreServedWhileTheLogStandsStill(t *testing.T) {
	s := newSite(t, 3)
	for _, begin := range []string{"BEGIN", "BEGIN READ"} {
		c, err := s.dial(0, "revise", "key-1")
		require.NoError(t, err)
		for range 10 {
			c.must(t, begin)
			c.must(t, "READ item")
			c.must(t, "COMMIT")
			c.must(t, begin)
			c.must(t, "READ item")
			c.must(t, "ROLLBACK")
		}
	}
}
