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

// heldRows keeps every change and answers none, as a store does that performs them seconds later.
type heldRows struct {
	model.RowStore
	changes []model.Change
}

func (r *heldRows) Apply(_ context.Context, change model.Change) (int64, error) {
	r.changes = append(r.changes, change)
	return 0, model.ErrUncertain
}

// newRegistrar returns the registrar of a process of VM vm, and its cached state.
func newRegistrar(rows model.RowStore, boot model.BootID) (*Registrar, *state.Cache) {
	cache := state.New(state.Config{VM: "vm", Boot: boot})
	return &Registrar{
		Self: state.VM{Name: "vm", Domain: "east", Boot: boot}, Rows: rows, Cache: cache, Log: log.New(io.Discard), OnWritten: func(int64) {},
	}, cache
}

// refresh applies the present table to a cached state.
func refresh(t *testing.T, rows *stand.Rows, cache *state.Cache) {
	t.Helper()
	page, err := rows.Client("reader").Rows(t.Context(), state.Table)
	require.NoError(t, err)
	require.NoError(t, cache.ApplyRows(page.Version, true, page.Rows, clock.Now()))
}

// runRegistrar runs a registrar until the end of the test.
func runRegistrar(t *testing.T, r *Registrar) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		r.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func registeredBoot(t *testing.T, rows *stand.Rows) model.BootID {
	t.Helper()
	_, cache := newRegistrar(nil, "")
	refresh(t, rows, cache)
	return cache.Snapshot().VMs["vm"].Boot
}

// TestLateRegistrationOfAnEndedProcessHasNoEffect guards against a VM that is taken for ended while it runs: the registration of its earlier process was
// performed after its own. Other VMs then claimed the coordinator lease 1.3 s after this one had.
func TestLateRegistrationOfAnEndedProcessHasNoEffect(t *testing.T) {
	rows := stand.NewRows()
	rows.Put("op", "config", nil)
	held := &heldRows{RowStore: rows.Client("vm")}
	ended, cache := newRegistrar(held, "first")
	refresh(t, rows, cache)
	ended.write(t.Context())
	require.Len(t, held.changes, 1)

	next, cache := newRegistrar(rows.Client("vm"), "second")
	refresh(t, rows, cache)
	runRegistrar(t, next)
	require.Eventually(t, func() bool { return registeredBoot(t, rows) == "second" }, 3*registrationCheckInterval, time.Millisecond)
	_, err := rows.Client("vm").Apply(t.Context(), held.changes[0])
	require.ErrorIs(t, err, model.ErrConflict)
	require.Equal(t, model.BootID("second"), registeredBoot(t, rows))
}

// TestRowOfAnEarlierProcessIsReplaced guards against a VM that does not register after a crash: the row of its earlier process is in the store, and its
// table comes late.
func TestRowOfAnEarlierProcessIsReplaced(t *testing.T) {
	rows := stand.NewRows()
	row, err := state.VM{Name: "vm", Boot: "first"}.Row()
	require.NoError(t, err)
	rows.Put(row.Table, row.Key, row.Value)
	r, cache := newRegistrar(rows.Client("vm"), "second")
	needed := make(chan int64, 10)
	r.OnWritten = func(version int64) { needed <- version }
	runRegistrar(t, r)
	require.EqualValues(t, 1, <-needed, "another process has written the row, so that the table is needed")
	require.Equal(t, model.BootID("first"), registeredBoot(t, rows))
	refresh(t, rows, cache)
	require.EqualValues(t, 2, <-needed)
	require.Equal(t, model.BootID("second"), registeredBoot(t, rows))
	require.Equal(t, 2, rows.Calls("vm"))
}
