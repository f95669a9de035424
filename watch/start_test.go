package watch

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
	"github.com/crocusshore/crocusshore/state"
)

// countingRows counts the calls to the store.
type countingRows struct {
	model.RowStore
	calls *atomic.Int64
}

func (c countingRows) Rows(ctx context.Context, table model.TableName) (model.RowsPage, error) {
	c.calls.Add(1)
	return c.RowStore.Rows(ctx, table)
}

func (c countingRows) Feed(ctx context.Context, table model.TableName, after int64, wait time.Duration) (model.RowsPage, error) {
	c.calls.Add(1)
	return c.RowStore.Feed(ctx, table, after, wait)
}

// TestStartOfAVMThatIsServedReadsEachTableOnce guards against calls to the store that grow with the VMs: a VM that started waited for
// changes of a table, here that of the VMs which has no rows yet, before it knew that another VM follows them.
func TestStartOfAVMThatIsServedReadsEachTableOnce(t *testing.T) {
	const roleKnownAfter, watched = 60 * time.Millisecond, 400 * time.Millisecond
	rows := stand.NewRows()
	rows.Put(settingsTable, settingsKey, []byte("1"))
	rows.Put(instancesTable, "i-1", []byte("g"))
	var calls atomic.Int64
	watcher, _ := newWatcher(rows, "vm")
	open := watcher.config.Open
	watcher.config.Open = func() model.RowStore { return countingRows{RowStore: open(), calls: &calls} }
	start(t, watcher)
	time.Sleep(roleKnownAfter)
	watcher.SetRole(RoleConsumer)
	time.Sleep(watched)
	require.EqualValues(t, 3, calls.Load())
}

// TestVMReadsItsOwnRegistrationAtOnce guards against a VM that cannot use any primary for a second and more after it has registered: it
// waited until the reader of its failure domain, which was busy with many VMs that had started, passed its row on.
func TestVMReadsItsOwnRegistrationAtOnce(t *testing.T) {
	const soon = 250 * time.Millisecond
	rows := stand.NewRows()
	watcher, cache := newWatcher(rows, "vm")
	watcher.SetRole(RoleConsumer)
	start(t, watcher)
	rows.Put(state.Table, "vm/other", []byte(`{"Domain":"east"}`))
	require.Eventually(t, func() bool { return cache.Snapshot().VMs["other"].Domain == "east" }, 2*time.Second, 5*time.Millisecond)
	rows.Put(state.Table, "vm/vm", []byte(`{"Domain":"east"}`))
	watcher.RequireVersion(rows.Row(state.Table, "vm/vm").Version)
	require.Eventually(t, func() bool { return cache.Snapshot().VMs["vm"].Domain == "east" }, soon, 5*time.Millisecond)
}
