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
	"github.com/crocusshore/crocusshore/world"
)

const settingsTable, instancesTable, settingsKey = "settings", "instances", "newest"

func newFollower(rows *stand.Rows, name string) (*Watcher, *world.Cache) {
	w := world.New(world.Config{VM: model.VMID(name)})
	return New(Config{
		Open: func() model.RowStore { return rows.Client(name) }, World: w, Log: log.New(io.Discard),
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
	}), w
}

func version(w *world.Cache) int64 {
	if p := w.Snapshot().Policy; p != nil {
		return p.Version
	}
	return 0
}

func start(t *testing.T, f *Watcher) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f.Start(ctx)
}

// TestSettingsArriveInTimeWhileTheReaderIsTurnedAway replays scale-2 of cbt-fermes, seed 936066221911: the VM that read the store for
// the others was turned away without an answer, and they relied on its copies until they were 4.5 s old.
func TestSettingsArriveInTimeWhileTheReaderIsTurnedAway(t *testing.T) {
	const inForce = 3 * time.Second
	rows := stand.NewRows()
	rows.Put(settingsTable, settingsKey, []byte("1"))
	rows.Put(world.Table, world.KeyCoordinator, []byte("{}"))
	rows.Put(instancesTable, "i", []byte("g"))
	reader, _ := newFollower(rows, "reader")
	follower, w := newFollower(rows, "follower")
	start(t, reader)
	start(t, follower)
	require.Eventually(t, func() bool { return version(w) == 1 && reader.Versions()[settingsTable] > 0 }, time.Second, time.Millisecond)
	follower.SetRole(RoleConsumer)
	stop := relay(reader, follower)
	defer stop()
	// The follower's own questions from before have to end first.
	time.Sleep(settingsPollWait + 300*time.Millisecond)
	rows.SetFaults(stand.RowsFaults{AwayFor: map[string]bool{"reader": true}})
	time.Sleep(50 * time.Millisecond)
	rows.Put(settingsTable, settingsKey, []byte("2"))
	require.Eventually(t, func() bool { return version(w) == 2 }, inForce, 5*time.Millisecond)
}

// relay copies what a reader knows to a follower until it is stopped.
func relay(reader, follower *Watcher) (stop func()) {
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
			}
			now := clock.Now()
			for _, c := range reader.Updates(now, follower.Versions()) {
				follower.Apply(c.Table, model.RowsPage{Rows: c.Rows, Version: c.Version}, c.Whole, now.Add(-c.Age))
			}
		}
	}()
	return func() { close(done) }
}

func TestBrokenRowsLeaveTheRestInForce(t *testing.T) {
	rows := stand.NewRows()
	rows.Put(settingsTable, settingsKey, []byte("7"))
	rows.Put(instancesTable, "good", []byte("g"))
	rows.Put(instancesTable, "bad", nil)
	f, w := newFollower(rows, "vm")
	start(t, f)
	require.Eventually(t, func() bool { return version(w) == 7 && len(w.Snapshot().Instances) == 1 }, time.Second, time.Millisecond)
	rows.Put(settingsTable, settingsKey, []byte("not a number"))
	rows.Put(instancesTable, "other", []byte("g"))
	require.Eventually(t, func() bool { return len(w.Snapshot().Instances) == 2 }, time.Second, time.Millisecond)
	require.Equal(t, int64(7), version(w))
}

func TestTableIsReadAnewWhenItsHistoryIsGone(t *testing.T) {
	rows := stand.NewRows()
	rows.Put(settingsTable, settingsKey, []byte("1"))
	f, w := newFollower(rows, "vm")
	start(t, f)
	require.Eventually(t, func() bool { return version(w) == 1 }, time.Second, time.Millisecond)
	rows.SetFaults(stand.RowsFaults{Away: true})
	rows.Put(settingsTable, settingsKey, []byte("2"))
	rows.Forget()
	rows.SetFaults(stand.RowsFaults{})
	require.Eventually(t, func() bool { return version(w) == 2 }, 3*time.Second, 5*time.Millisecond)
}

func TestAwaitReturnsOnAChange(t *testing.T) {
	rows := stand.NewRows()
	rows.Put(settingsTable, settingsKey, []byte("1"))
	f, w := newFollower(rows, "vm")
	start(t, f)
	require.Eventually(t, func() bool { return version(w) == 1 }, time.Second, time.Millisecond)
	known := f.Versions()
	require.Less(t, f.AwaitChange(map[model.TableName]int64{}, time.Second), 100*time.Millisecond)
	go func() {
		time.Sleep(30 * time.Millisecond)
		rows.Put(settingsTable, settingsKey, []byte("2"))
	}()
	require.Less(t, f.AwaitChange(known, 2*time.Second), time.Second)
	require.GreaterOrEqual(t, f.AwaitChange(f.Versions(), 40*time.Millisecond), 40*time.Millisecond)
}

// TestStartOfManyVMsIsNoCallForEach replays the start of a fleet: each VM wrote its row, and each row was a call of each other VM.
func TestStartOfManyVMsIsNoCallForEach(t *testing.T) {
	const vms, spread = 100, time.Second
	rows := stand.NewRows()
	f, w := newFollower(rows, "vm")
	start(t, f)
	for i := range vms {
		row, err := world.VM{Name: model.VMID(strconv.Itoa(i)), Domain: "east"}.Row()
		require.NoError(t, err)
		rows.Put(world.Table, row.Key, row.Value)
		time.Sleep(spread / vms)
	}
	require.Eventually(t, func() bool { return len(w.Snapshot().VMs) == vms }, 2*startupPollPause, time.Millisecond)
	require.Less(t, rows.Calls("vm"), 25, "calls for all three tables")
}
