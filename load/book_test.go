package load

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/check"
	"github.com/crocusshore/crocusshore/model"
)

// TestAuditFindsEachBreach shows the audit what a broken system would answer.
func TestAuditFindsEachBreach(t *testing.T) {
	cases := []struct {
		name string
		rows []string
		want check.Invariant
	}{
		{"sound", []string{"a", "b"}, ""},
		{"an unknown line may be there", []string{"a", "maybe", "b"}, ""},
		{"doubled", []string{"a", "b", "b"}, check.AtMostOnce},
		{"lost", []string{"a"}, check.NoLostWrite},
		{"run although refused", []string{"a", "b", "refused"}, check.TrueRefusal},
		{"another caller's", []string{"a", "b", "other"}, check.OwnAnswer},
		{"out of order", []string{"b", "a"}, check.ReadYourWrites},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBook("lines")
			b.note("a", model.Done)
			b.note("refused", model.NotRun)
			b.note("maybe", model.Unknown)
			b.note("b", model.Done)
			var ledger check.ViolationLog
			b.audit(&ledger, c.rows, check.NoLostWrite)
			if c.want == "" {
				require.Empty(t, ledger.List())
				return
			}
			require.Len(t, ledger.List(), 1)
			require.Contains(t, ledger.List()[0], string(c.want))
		})
	}
}
