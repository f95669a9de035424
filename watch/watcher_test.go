package watch

import (
	"context"
	"io"
	"strconv"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
	"github.com/crocusshore/crocusshore/stand"
	"github.com/crocusshore/crocusshore/state"
)

const settingsTable, instancesTable, settingsKey = "settings", "instances", "newest"

func newWatcher(rows *stand.Rows, name string) (*Watcher, *state.Cache) {
	cache := state.New(state.Config{VM: model.VMID(name)})
	return New(Config{
		Open: func() model.RowStore { return rows.Client(name) }, Cache: cache, Log: log.New(io.Discard),
		Settings: settingsTable, Instances: instancesTable, SettingsKey: settingsKey,
		DecodePolicy: func(value []byte) (*policy.Policy, []string, error) {
			version, err := strconv.ParseInt(string(value), 10, 64)
			return &policy.Policy{Version: version}, nil, err
		},
		OnRemoved: func(model.InstanceName) {},
		DecodeInstance: func(name string, value []byte) (model.Instance, error) {
			if len(value) == 0 {
				return model.Instance{}, errors.New("empty")
			}
			return model.Instance{Name: model.InstanceName(name), Group: model.GroupName(value)}, nil
		},
	}), cache
}

func policyVersion(cache *state.Cache) int64 {
	if p := cache.Snapshot().Policy; p != nil {
		return p.Version
	}
	return 0
}

func start(t *testing.T, watcher *Watcher) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	watcher.Start(ctx)
}

// TestSettingsArriveInTimeWhileTheReaderGetsNoAnswers guards against late settings: the store did not answer the VM that read it for the
// others, and they relied on the tables of that VM until these were 4.5 s old.
func TestSettingsArriveInTimeWhileTheReaderGetsNoAnswers(t *testing.T) {
	const deadline = 3 * time.Second
	rows := stand.NewRows()
	rows.Put(settingsTable, settingsKey, []byte("1"))
	rows.Put(state.Table, state.KeyCoordinator, []byte("{}"))
	rows.Put(instancesTable, "i", []byte("g"))
	reader, _ := newWatcher(rows, "reader")
	consumer, cache := newWatcher(rows, "follower")
	start(t, reader)
	start(t, consumer)
	require.Eventually(t, func() bool { return policyVersion(cache) == 1 && reader.Versions()[settingsTable] > 0 }, time.Second, time.Millisecond)
	consumer.SetRole(RoleConsumer)
	stop := relay(reader, consumer)
	defer stop()
	// The consumer's own calls from before the change of its role have to end first.
	time.Sleep(settingsPollWait + 300*time.Millisecond)
	rows.SetFaults(stand.RowsFaults{UnavailableFor: map[string]bool{"reader": true}})
	time.Sleep(50 * time.Millisecond)
	rows.Put(settingsTable, settingsKey, []byte("2"))
	require.Eventually(t, func() bool { return policyVersion(cache) == 2 }, deadline, 5*time.Millisecond)
}

// relay copies the tables of a reader to a consumer until it is stopped.
func relay(reader, consumer *Watcher) (stop func()) {
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
			}
			now := clock.Now()
			for _, update := range reader.Updates(now, consumer.Versions()) {
				consumer.Apply(update.Table, model.RowsPage{Rows: update.Rows, Version: update.Version}, update.Whole, now.Add(-update.Age))
			}
		}
	}()
	return func() { close(done) }
}

func TestUndecodableRowsLeaveOthersInEffect(t *testing.T) {
	rows := stand.NewRows()
	rows.Put(settingsTable, settingsKey, []byte("7"))
	rows.Put(instancesTable, "good", []byte("g"))
	rows.Put(instancesTable, "bad", nil)
	watcher, cache := newWatcher(rows, "vm")
	start(t, watcher)
	require.Eventually(t, func() bool { return policyVersion(cache) == 7 && len(cache.Snapshot().Instances) == 1 }, time.Second, time.Millisecond)
	rows.Put(settingsTable, settingsKey, []byte("not a number"))
	rows.Put(instancesTable, "other", []byte("g"))
	require.Eventually(t, func() bool { return len(cache.Snapshot().Instances) == 2 }, time.Second, time.Millisecond)
	require.Equal(t, int64(7), policyVersion(cache))
}

func TestTableIsReadInFullWithoutHistory(t *testing.T) {
	rows := stand.NewRows()
	rows.Put(settingsTable, settingsKey, []byte("1"))
	watcher, cache := newWatcher(rows, "vm")
	start(t, watcher)
	require.Eventually(t, func() bool { return policyVersion(cache) == 1 }, time.Second, time.Millisecond)
	rows.SetFaults(stand.RowsFaults{Unavailable: true})
	rows.Put(settingsTable, settingsKey, []byte("2"))
	rows.DropHistory()
	rows.SetFaults(stand.RowsFaults{})
	require.Eventually(t, func() bool { return policyVersion(cache) == 2 }, 3*time.Second, 5*time.Millisecond)
}

func TestAwaitChangeReturnsOnAChange(t *testing.T) {
	rows := stand.NewRows()
	rows.Put(settingsTable, settingsKey, []byte("1"))
	watcher, cache := newWatcher(rows, "vm")
	start(t, watcher)
	require.Eventually(t, func() bool { return policyVersion(cache) == 1 }, time.Second, time.Millisecond)
	known := watcher.Versions()
	require.Less(t, watcher.AwaitChange(map[model.TableName]int64{}, time.Second), 100*time.Millisecond)
	go func() {
		time.Sleep(30 * time.Millisecond)
		rows.Put(settingsTable, settingsKey, []byte("2"))
	}()
	require.Less(t, watcher.AwaitChange(known, 2*time.Second), time.Second)
	require.GreaterOrEqual(t, watcher.AwaitChange(watcher.Versions(), 40*time.Millisecond), 40*time.Millisecond)
}

// TestStartOfManyVMsNeedsFewCalls guards against a flood of calls when all VMs start at once: each VM wrote its row, and each row caused
// a call by every other VM.
func TestStartOfManyVMsNeedsFewCalls(t *testing.T) {
	const vms, spread = 100, time.Second
	rows := stand.NewRows()
	watcher, cache := newWatcher(rows, "vm")
	start(t, watcher)
	for i := range vms {
		row, err := state.VM{Name: model.VMID(strconv.Itoa(i)), Domain: "east"}.Row()
		require.NoError(t, err)
		rows.Put(state.Table, row.Key, row.Value)
		time.Sleep(spread / vms)
	}
	require.Eventually(t, func() bool { return len(cache.Snapshot().VMs) == vms }, 2*startupPollPause, time.Millisecond)
	require.Less(t, rows.Calls("vm"), 25, "calls for all three tables")
}
