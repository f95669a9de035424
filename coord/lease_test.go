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

// leaseClaimant is a process that claims the coordinator lease, with its cached state of the store.
type leaseClaimant struct {
	*coordinatorLease
	t    *testing.T
	rows *stand.Rows
}

func newLeaseClaimant(t *testing.T, rows *stand.Rows, name model.VMID, boot model.BootID) *leaseClaimant {
	t.Helper()
	cache := state.New(state.Config{VM: name, Boot: boot})
	lease := &coordinatorLease{self: name, boot: boot, rows: rows.Client(string(name)), cache: cache, log: log.New(io.Discard)}
	return &leaseClaimant{coordinatorLease: lease, t: t, rows: rows}
}

// refresh updates the cached state of the process from the store.
func (h *leaseClaimant) refresh() {
	h.t.Helper()
	page, err := h.coordinatorLease.rows.Rows(h.t.Context(), state.Table)
	require.NoError(h.t, err)
	require.NoError(h.t, h.cache.ApplyRows(page.Version, true, page.Rows, clock.Now()))
	h.observe(clock.Now())
}

// register writes the row of the process's VM.
func (h *leaseClaimant) register() {
	h.t.Helper()
	row, err := state.VM{Name: h.self, Boot: h.boot}.Row()
	require.NoError(h.t, err)
	h.rows.Put(state.Table, row.Key, row.Value)
}

// TestLeaseOfRestartedProcessIsClaimedBeforeItExpires guards against waiting for the lease of a process that has ended: all VMs lost
// power during replacements, and the groups had no primary until such a lease had expired (trouble-1 of cbt-fermes-grown).
func TestLeaseOfRestartedProcessIsClaimedBeforeItExpires(t *testing.T) {
	rows := stand.NewRows()
	old := newLeaseClaimant(t, rows, "a", "first")
	old.register()
	old.refresh()
	held, err := old.claim(t.Context())
	require.NoError(t, err)
	other := newLeaseClaimant(t, rows, "b", "first")
	other.refresh()
	_, err = other.claim(t.Context())
	require.ErrorIs(t, err, errLeaseHeld)
	newLeaseClaimant(t, rows, "a", "second").register()
	other.refresh()
	_, err = other.claim(t.Context())
	require.ErrorIs(t, err, errLeaseHeld, "an order may be under way")
	time.Sleep(1400 * time.Millisecond)
	next, err := other.claim(t.Context())
	require.NoError(t, err)
	require.Equal(t, held.Fence+1, next.Fence)
}

func TestLeaseNewerThanTheRowOfItsHolderIsNotClaimed(t *testing.T) {
	rows := stand.NewRows()
	before := newLeaseClaimant(t, rows, "a", "first")
	before.register()
	// The process restarted and claimed the lease before the row of its VM was written again.
	holder := newLeaseClaimant(t, rows, "a", "second")
	holder.refresh()
	_, err := holder.claim(t.Context())
	require.NoError(t, err)
	other := newLeaseClaimant(t, rows, "b", "first")
	other.refresh()
	time.Sleep(1400 * time.Millisecond)
	_, err = other.claim(t.Context())
	require.ErrorIs(t, err, errLeaseHeld)
	holder.register()
	other.refresh()
	_, err = other.claim(t.Context())
	require.ErrorIs(t, err, errLeaseHeld, "the row names the process that holds the lease")
}
