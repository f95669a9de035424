package elect

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestOrderThatAnOlderProgramSentIsAwaited guards against a lower token in a rolling update: a program of ba561ec sends an order until 3.2 s after its
// record (MayOrder), and this one counts on 1 s.
func TestOrderThatAnOlderProgramSentIsAwaited(t *testing.T) {
	recordedAt := now
	sent := time.Duration(0)
	for MayOrder(recordedAt.Add(sent+time.Millisecond), recordedAt) {
		sent += time.Millisecond
	}
	claim := LeaseClaim{OrderPending: true, PendingAge: -OlderSendDelay, UnchangedSince: recordedAt}
	require.False(t, MayClaim(recordedAt.Add(sent+OrderLifetime-time.Millisecond), claim), "sent after %s, carried out just within its lifetime", sent)
}
