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
	"github.com/crocusshore/crocusshore/state"
)

// TestRowIsWrittenOnceUntilTheTableIsCached guards against repeated writes at a start with many VMs: the table arrived later than the next
// check, and each check wrote the row again, which was a change for all VMs.
func TestRowIsWrittenOnceUntilTheTableIsCached(t *testing.T) {
	rows := stand.NewRows()
	cache := state.New(state.Config{VM: "vm", Boot: "boot"})
	r := &Registrar{Self: state.VM{Name: "vm", Domain: "east", Boot: "boot"}, Rows: rows.Client("vm"), Cache: cache, Log: log.New(io.Discard), OnWritten: func(int64) {}}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go r.Run(ctx)
	time.Sleep(3 * registrationCheckInterval)
	require.Equal(t, 1, rows.Calls("vm"))
	row := rows.Row(state.Table, "vm/vm")
	require.NoError(t, cache.ApplyRows(row.Version, true, []model.StoredRow{row}, clock.Now()))
	// After a deletion by another VM the row is written again.
	rows.Delete(state.Table, "vm/vm")
	row.Version, row.Removed = row.Version+1, true
	require.NoError(t, cache.ApplyRows(row.Version, false, []model.StoredRow{row}, clock.Now()))
	require.Eventually(t, func() bool { return rows.Calls("vm") == 2 }, 3*registrationCheckInterval, time.Millisecond)
}
