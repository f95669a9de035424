package peers

import (
	"context"
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

// TestRowIsWrittenOnceUntilTheTableIsKnown replays a start with many VMs: the copy of the table comes later than the next look, and
// the row was written again each time, which was a change for all.
func TestRowIsWrittenOnceUntilTheTableIsKnown(t *testing.T) {
	rows := stand.NewRows()
	w := world.New(world.Config{VM: "vm", Boot: "boot"})
	r := &Registrar{Self: world.VM{Name: "vm", Domain: "east", Boot: "boot"}, Rows: rows.Client("vm"), World: w, Log: log.New(io.Discard)}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go r.Run(ctx)
	time.Sleep(3 * registrationCheckInterval)
	require.Equal(t, 1, rows.Calls("vm"))
	row := rows.Row(world.Table, "vm/vm")
	require.NoError(t, w.ApplyRows(row.Version, true, []model.StoredRow{row}, clock.Now()))
	// Somebody deletes the row: it is written again.
	rows.Delete(world.Table, "vm/vm")
	row.Version, row.Removed = row.Version+1, true
	require.NoError(t, w.ApplyRows(row.Version, false, []model.StoredRow{row}, clock.Now()))
	require.Eventually(t, func() bool { return rows.Calls("vm") == 2 }, 3*registrationCheckInterval, time.Millisecond)
}
