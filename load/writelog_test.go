package load

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/check"
	"github.com/crocusshore/crocusshore/model"
)

// TestAuditFindsEachViolation guards against an audit that overlooks a violation or reports one where there is none.
func TestAuditFindsEachViolation(t *testing.T) {
	cases := []struct {
		name string
		rows []string
		want check.Invariant
	}{
		{"no violation", []string{"a", "b"}, ""},
		{"a line of unknown outcome may be present", []string{"a", "maybe", "b"}, ""},
		{"duplicate line", []string{"a", "b", "b"}, check.AtMostOnce},
		{"lost line", []string{"a"}, check.NoLostWrite},
		{"run although refused", []string{"a", "b", "refused"}, check.TrueRefusal},
		{"line of another caller", []string{"a", "b", "other"}, check.OwnAnswer},
		{"out of order", []string{"b", "a"}, check.ReadYourWrites},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			writes := newWriteLog("lines")
			writes.record("a", model.Done)
			writes.record("refused", model.NotRun)
			writes.record("maybe", model.Unknown)
			writes.record("b", model.Done)
			var violations check.ViolationLog
			writes.audit(&violations, c.rows, check.NoLostWrite)
			if c.want == "" {
				require.Empty(t, violations.List())
				return
			}
			require.Len(t, violations.List(), 1)
			require.Contains(t, violations.List()[0], string(c.want))
		})
	}
}
