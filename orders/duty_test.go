package orders

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
	"github.com/crocusshore/crocusshore/world"
)

// dutyHolder is a process that wants the duty, with what it knows of the store.
type dutyHolder struct {
	*coordinatorLease
	t    *testing.T
	rows *stand.Rows
}

func newDutyHolder(t *testing.T, rows *stand.Rows, name model.VMID, boot model.BootID) *dutyHolder {
	t.Helper()
	w := world.New(world.Config{VM: name, Boot: boot})
	d := &coordinatorLease{self: name, boot: boot, rows: rows.Client(string(name)), world: w, log: log.New(io.Discard)}
	return &dutyHolder{coordinatorLease: d, t: t, rows: rows}
}

// read brings what the process knows up to date.
func (h *dutyHolder) read() {
	h.t.Helper()
	page, err := h.coordinatorLease.rows.Rows(h.t.Context(), world.Table)
	require.NoError(h.t, err)
	require.NoError(h.t, h.world.ApplyRows(page.Version, true, page.Rows, clock.Now()))
	h.observe(clock.Now())
}

// register writes the row of the process's VM.
func (h *dutyHolder) register() {
	h.t.Helper()
	row, err := world.VM{Name: h.self, Boot: h.boot}.Row()
	require.NoError(h.t, err)
	h.rows.Put(world.Table, row.Key, row.Value)
}

// TestDutyOfARestartedProcessIsTakenSoon replays trouble-1 of cbt-fermes-grown: all VMs lost power in the middle of replacements, and
// the groups had no primary until the duty of a process that was gone had lapsed.
func TestDutyOfARestartedProcessIsTakenSoon(t *testing.T) {
	rows := stand.NewRows()
	old := newDutyHolder(t, rows, "a", "first")
	old.register()
	old.read()
	held, err := old.claim(t.Context())
	require.NoError(t, err)
	other := newDutyHolder(t, rows, "b", "first")
	other.read()
	_, err = other.claim(t.Context())
	require.ErrorIs(t, err, errLeaseHeld)
	newDutyHolder(t, rows, "a", "second").register()
	other.read()
	_, err = other.claim(t.Context())
	require.ErrorIs(t, err, errLeaseHeld, "an order may be on its way")
	time.Sleep(1400 * time.Millisecond)
	next, err := other.claim(t.Context())
	require.NoError(t, err)
	require.Equal(t, held.Fence+1, next.Fence)
}

func TestDutyThatIsNewerThanTheRowOfItsHolderIsLeftAlone(t *testing.T) {
	rows := stand.NewRows()
	before := newDutyHolder(t, rows, "a", "first")
	before.register()
	// The process restarted and took the duty before its row was written anew.
	holder := newDutyHolder(t, rows, "a", "second")
	holder.read()
	_, err := holder.claim(t.Context())
	require.NoError(t, err)
	other := newDutyHolder(t, rows, "b", "first")
	other.read()
	time.Sleep(1400 * time.Millisecond)
	_, err = other.claim(t.Context())
	require.ErrorIs(t, err, errLeaseHeld)
	holder.register()
	other.read()
	_, err = other.claim(t.Context())
	require.ErrorIs(t, err, errLeaseHeld, "the row names the process that holds the duty")
}
