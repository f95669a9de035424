package secret

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestIssuedKeyVerifies(t *testing.T) {
	issued, err := Issue()
	require.NoError(t, err)
	id, keySecret, ok := Split(issued.Text)
	require.True(t, ok)
	require.Equal(t, issued.ID, id)
	require.True(t, Verify(issued.Salt, issued.Hash, keySecret))
	require.False(t, Verify(issued.Salt, issued.Hash, keySecret+"x"))
	require.NotContains(t, string(issued.Hash), keySecret)
}

func TestSplitRejectsIncompleteKeys(t *testing.T) {
	for _, text := range []string{"", ".", "a.", ".b", "ab"} {
		_, _, ok := Split(text)
		require.False(t, ok, text)
	}
}
