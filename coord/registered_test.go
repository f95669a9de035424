package coord

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
	"github.com/crocusshore/crocusshore/state"
)

// TestVMActsOnPrimariesOnceItIsRegistered guards against a coordinator lease that others claim while its holder lives: the registration of the earlier
// process of its VM was performed after the claim, so that the holder counted as ended. Once the VM is registered, an earlier one has no effect.
func TestVMActsOnPrimariesOnceItIsRegistered(t *testing.T) {
	rows := stand.NewRows()
	vm := newLeaseClaimant(t, rows, "a", "second")
	newLeaseClaimant(t, rows, "a", "first").register()
	vm.refresh()
	vm.cache.ApplyInstances(1, true, []model.Instance{{Name: "i-1", Group: "g", Role: model.RolePrimary}}, nil, clock.Now())
	s := New(Config{
		Self: "a", Boot: "second", Cache: vm.cache, Rankings: state.NewRankings(vm.cache), Rows: rows.Client("a"), Log: log.New(io.Discard),
		Dialer: statusDialer{"i-1": {Role: model.RolePrimary, Term: 1}},
	})
	recorded := func() bool { return rows.Row(state.Table, "lead/g").Version > 0 }
	now := clock.Now()
	for at := now; at.Before(now.Add(10 * time.Second)); at = at.Add(time.Second) {
		s.assess(t.Context(), at, "g")
	}
	time.Sleep(20 * time.Millisecond)
	require.False(t, recorded(), "the registration is that of the earlier process")
	vm.register()
	vm.refresh()
	s.assess(t.Context(), now.Add(20*time.Second), "g")
	require.Eventually(t, recorded, time.Second, time.Millisecond)
}
