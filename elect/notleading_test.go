package elect

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPrimaryThatIsAReplicaIsSuspected guards against a primary that answers and is one no more, by an order or a command that came late.
func TestPrimaryThatIsAReplicaIsSuspected(t *testing.T) {
	now := time.Unix(1000, 0)
	s := PrimaryState{Recorded: true, Registered: true}
	require.Equal(t, CauseNone, Assess(now, s))
	s.NotLeadingSince = now.Add(-notLeadingAfter + time.Millisecond)
	require.Equal(t, CauseNone, Assess(now, s), "a new primary registers its role later than it leads")
	s.NotLeadingSince = now.Add(-notLeadingAfter)
	require.Equal(t, CauseSuspected, Assess(now, s))
	s.Announced, s.AnnouncedSince = true, now
	require.Equal(t, CauseNone, Assess(now, s), "it is being replaced")
}
