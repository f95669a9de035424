package stand

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestProofBelongsToItsStatementAndRows guards against swapped answers that only their values could show.
func TestProofBelongsToItsStatementAndRows(t *testing.T) {
	proof := Proof("i-1", "q1", []string{"a", "b"})
	require.True(t, CheckProof(proof, "q1", []string{"a", "b"}))
	require.False(t, CheckProof(proof, "q2", []string{"a", "b"}))
	require.False(t, CheckProof(proof, "q1", []string{"a"}))
	require.False(t, CheckProof(proof, "q1", []string{"ab"}))
	require.False(t, CheckProof(proof, "q1", []string{"a1:b"}))
	require.False(t, CheckProof("", "q1", nil))
	require.NotEqual(t, proof, Proof("i-2", "q1", []string{"a", "b"}))
}
