package view

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestOwnAttestationDatesFromItsEvidence guards against a process that counts its own attestation from a later instant than that of its evidence:
// a pause between the two extended the confirmation by the length of the pause.
func TestOwnAttestationDatesFromItsEvidence(t *testing.T) {
	const term = time.Minute
	now := time.Unix(1000, 0)
	steward := NewSteward("boot")
	steward.Confirm(now)
	attestation := steward.Attest(now.Add(time.Second), 3, term)
	require.True(t, attestation.Serving)
	require.Equal(t, now.Add(time.Second), attestation.SentAt)
	require.False(t, steward.Attest(now.Add(term), 3, term).Serving)
}
