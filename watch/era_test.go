package watch

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
	"github.com/crocusshore/crocusshore/state"
)

// TestReturnOfTheStoreNeedsFewCalls guards against a reader that reads its tables again and again, about 100 times a second, until the versions have passed those
// of before the store came back from an older copy.
func TestReturnOfTheStoreNeedsFewCalls(t *testing.T) {
	const watched, maxCalls = time.Second, 20
	rows := stand.NewRows()
	rows.Put(instancesTable, "i-1", []byte("g"))
	kept := rows.Copy()
	for range 100 {
		rows.Put(settingsTable, settingsKey, []byte("1"))
	}
	var calls atomic.Int64
	watcher, cache := newWatcher(rows, "vm")
	open := watcher.config.Open
	watcher.config.Open = func() model.RowStore { return countingRows{RowStore: open(), calls: &calls} }
	start(t, watcher)
	inEra := func(era int64) func() bool {
		return func() bool {
			for _, version := range watcher.Versions() {
				if version == 0 || model.EraOf(version) != era {
					return false
				}
			}
			return true
		}
	}
	require.Eventually(t, inEra(0), 5*time.Second, time.Millisecond)
	rows.Restore(kept)
	before := calls.Load()
	time.Sleep(watched)
	require.LessOrEqual(t, calls.Load()-before, int64(maxCalls))
	require.Eventually(t, inEra(1), 5*time.Second, time.Millisecond)
	era, _ := cache.Era()
	require.Equal(t, int64(1), era)
	require.Less(t, model.CountOf(cache.TableVersion()), int64(100), "the count went back")
	require.Equal(t, cache.TableVersion(), watcher.Versions()[state.Table])
}
