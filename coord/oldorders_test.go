package coord

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/stand"
	"github.com/crocusshore/crocusshore/state"
)

// TestAllOrdersOfAnOlderProgramAreTakenOver guards against a lower token and a lost commit in a rolling update: the orders of the process before, whose
// program gave them no IDs, were taken for one order, so that the second was forgotten while the platform held it.
func TestAllOrdersOfAnOlderProgramAreTakenOver(t *testing.T) {
	rows := stand.NewRows()
	ended := newLeaseClaimant(t, rows, "a", "first")
	ended.register()
	ended.refresh()
	// The row as a program of ba561ec writes it.
	body, err := json.Marshal(map[string]any{
		"Holder": "a", "Boot": "first", "Fence": 1, "Renewals": 2, "Released": false, "Orders": []map[string]any{
			{"Group": "g", "Kind": "Promote", "Target": "i-2", "Term": 2},
			{"Group": "h", "Kind": "Promote", "Target": "j-2", "Term": 2},
		},
	})
	require.NoError(t, err)
	rows.Put(state.Table, state.KeyCoordinator, body)
	successor := newLeaseClaimant(t, rows, "a", "second")
	successor.register()
	successor.refresh()
	lease, err := successor.claim(t.Context())
	require.NoError(t, err)
	require.EqualValues(t, 1, lease.Fence)
	require.True(t, successor.isPending("g"))
	t.Logf("orders in the successor's row: %+v", lease.Orders)

	// The order for g is carried out, the run ends, and the lease is given up with the order for h under way.
	successor.recordCarriedOut("g", "i-2", 2)
	successor.giveUp(t.Context())
	other := newLeaseClaimant(t, rows, "b", "first")
	other.register()
	for range 20 {
		other.refresh()
		next, err := other.claim(t.Context())
		require.ErrorIs(t, err, errOrderPending, "the order for h of fence 1 is under way, and %q may order under fence %d", next.Holder, next.Fence)
	}
	require.True(t, successor.isPending("h"), "the order for h may be under way")
}
