package coord

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
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
	var next state.CoordinatorLease
	require.Never(t, func() bool {
		other.refresh()
		next, err = other.claim(t.Context())
		return err == nil
	}, 300*time.Millisecond, 10*time.Millisecond, "the order for h of fence 1 is under way, and another VM may order under the next one")
	require.Zero(t, next.Fence)
	require.True(t, successor.isPending("h"), "the order for h may be under way")
}

// TestOrderOfAnOlderProgramIsNotSettledByWhatItsTargetShows guards against a lower token in a rolling update: a program of ba561ec ordered a target
// without asking whether it led already, so that its state shows nothing of the order.
func TestOrderOfAnOlderProgramIsNotSettledByWhatItsTargetShows(t *testing.T) {
	rows := stand.NewRows()
	body, err := json.Marshal(map[string]any{
		"Holder": "a", "Boot": "first", "Fence": 1, "Orders": []map[string]any{{"Group": "g", "Kind": "Promote", "Target": "i-2", "Term": 2}},
	})
	require.NoError(t, err)
	rows.Put(state.Table, state.KeyCoordinator, body)
	other := newLeaseClaimant(t, rows, "b", "first")
	other.register()
	other.refresh()
	run := newRunOf(other, state.CoordinatorLease{}, &changingDialer{states: map[model.InstanceName]model.InstanceState{"i-2": leadsTerm2}}, nil)
	other.observe(clock.Now())
	other.unchangedSince = clock.Now().Add(-7 * time.Second) // The lease has expired; the order was recorded as long ago.
	next, err := run.s.claimLease(t.Context())
	require.ErrorIs(t, err, errOrderPending, "the order of fence 1 may be under way, and %q may order under fence %d", next.Holder, next.Fence)
}
