package watch

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
	"github.com/crocusshore/crocusshore/retry"
	"github.com/crocusshore/crocusshore/state"
)

const (
	// settingsPollWait and rowsPollWait bound how long a call waits for a change; a connection without answers is detected after that time.
	settingsPollWait = 1200 * time.Millisecond
	rowsPollWait     = 500 * time.Millisecond
	// settingsMaxAge and rowsMaxAge are how stale a table from peers may be before the store is read instead. Settings have to be in effect
	// no later than three seconds after they were accepted, even if the store does not answer the reader of the failure domain.
	settingsMaxAge = 2000 * time.Millisecond
	rowsMaxAge     = 1100 * time.Millisecond
	// consumerExtraAge is how much staler a table may be in RoleConsumer than in RoleStandby, so that the VMs on standby read the store first.
	consumerExtraAge = 400 * time.Millisecond
	// freshCheckInterval is the interval at which the staleness of a table that peers keep current is checked.
	freshCheckInterval = 100 * time.Millisecond
	// startupWindow is the time after the start of a VM during which others that started at the same time may still register.
	startupWindow = 5 * time.Second
	// startupPollPause follows each change in that time, so that not every registration causes a call by every VM. It also follows the first
	// read of a table, so that the VM has its role before it waits for changes.
	startupPollPause = 150 * time.Millisecond
)

var (
	// backoff applies after failed calls to the store, and consumerBackoff does so in RoleConsumer.
	backoff         = retry.Backoff{Base: 150 * time.Millisecond, Max: 800 * time.Millisecond}
	consumerBackoff = retry.Backoff{Base: 600 * time.Millisecond, Max: 3 * time.Second}
)

type (
	// Config holds the tables to watch, their decoders and the cache that receives their rows.
	Config struct {
		// Open returns a client of the store with connections of its own.
		Open  func() model.RowStore
		Cache *state.Cache
		Log   *log.Logger
		// Settings and Instances are the tables of the operator's settings and of the instances; SettingsKey is the key of the settings.
		Settings, Instances model.TableName
		SettingsKey         string
		DecodePolicy        func(value []byte) (*policy.Policy, []string, error)
		DecodeInstance      func(name string, value []byte) (model.Instance, error)
		// Metrics receives the counters of encoded rows; nil for none.
		Metrics tally.Scope
		// DecodeEvacuation returns the failure domain whose evacuation a row of the settings table requests, and whether it is such a row; nil
		// knows none.
		DecodeEvacuation func(key string) (model.Domain, bool)
		// OnRemoved is called with an instance that was removed because it did not register again in time.
		OnRemoved func(name model.InstanceName)
	}

	// Watcher keeps the tables cached and applies their changes to the cached state.
	Watcher struct {
		config           Config
		cached           map[model.TableName]*cachedTable
		unreadableTables atomic.Int32         // Counts the tables that cannot be read from the store.
		role             atomic.Pointer[Role] // This VM's role in reading the store for its failure domain.
		requiredVersion  atomic.Int64         // See RequireVersion.

		settings settingsApplier
		// evacuationMu is held from the merge of a page of the settings table until its evacuations are in effect.
		evacuationMu sync.Mutex

		mu         sync.Mutex
		changed    chan struct{} // Closed and replaced whenever rows of a table change.
		answeredAt time.Time     // See StoreAnsweredAt.
	}
)

// New returns a watcher without any rows.
func New(config Config) *Watcher {
	if config.Metrics == nil {
		config.Metrics = tally.NoopScope
	}
	w := &Watcher{config: config, cached: map[model.TableName]*cachedTable{}, changed: make(chan struct{})}
	w.SetRole(RoleReader)
	for _, table := range w.tables() {
		w.cached[table] = &cachedTable{}
	}
	return w
}

func (w *Watcher) tables() []model.TableName {
	return []model.TableName{w.config.Settings, w.config.Instances, state.Table}
}

// Start watches each table until the context ends.
func (w *Watcher) Start(ctx context.Context) {
	for _, table := range w.tables() {
		wait, maxAge := settingsPollWait, settingsMaxAge
		if table == state.Table {
			wait, maxAge = rowsPollWait, rowsMaxAge
		}
		go w.watchTable(ctx, w.config.Open(), table, wait, maxAge)
	}
}

func (w *Watcher) watchTable(ctx context.Context, rows model.RowStore, table model.TableName, wait, maxAge time.Duration) {
	var storeTime storeClock
	full := true
	failures := 0
	startedAt := clock.Now()
	for ctx.Err() == nil {
		sentAt := clock.Now()
		role := w.Role()
		if role != RoleReader && !w.isBehind(table) && w.cached[table].isFresherThan(sentAt, role.maxAge(maxAge)) {
			failures = w.recordSuccess(table, failures)
			retry.Sleep(ctx, freshCheckInterval)
			continue
		}
		page, err := w.poll(ctx, rows, table, full, wait)
		if err == nil || errors.Is(err, model.ErrHistoryUnavailable) {
			w.recordAnswer(clock.Now())
		}
		if errors.Is(err, model.ErrHistoryUnavailable) {
			w.config.Log.Info("change history of table no longer available, reading all rows", "table", table)
			full = true
			continue
		}
		if err != nil {
			w.recordFailure(table, failures, err)
			failures++
			retry.Sleep(ctx, role.backoff().Delay(failures-1, rand.Float64()))
			continue
		}
		failures = w.recordSuccess(table, failures)
		w.Apply(table, page, full, storeTime.observe(sentAt, page.StoreTime))
		if (full || len(page.Rows) > 0) && clock.Now().Sub(startedAt) < startupWindow {
			retry.Sleep(ctx, startupPollPause)
		}
		full = false
	}
}

// recordSuccess records that a table is current again and returns the new number of failures, 0.
func (w *Watcher) recordSuccess(table model.TableName, failures int) int {
	if failures > 0 {
		w.unreadableTables.Add(-1)
		w.config.Log.Info("table current again after failed reads", "table", table, "failures", failures)
	}
	return 0
}

// recordFailure records a failed read; failures is the number of failures in a row before it.
func (w *Watcher) recordFailure(table model.TableName, failures int, err error) {
	if failures > 0 {
		return
	}
	w.unreadableTables.Add(1)
	version, at := w.cached[table].versionAndTime()
	w.config.Log.Warn("cannot read table from the store", "table", table, "version", version,
		"age", clock.Now().Sub(at).Round(time.Millisecond), "error", err)
}

func (w *Watcher) poll(ctx context.Context, rows model.RowStore, table model.TableName, full bool, wait time.Duration) (model.RowsPage, error) {
	if full {
		return rows.Rows(ctx, table)
	}
	version, _ := w.cached[table].versionAndTime()
	return rows.Feed(ctx, table, version, wait)
}

// SetRole sets this VM's role in reading the store for its failure domain.
func (w *Watcher) SetRole(role Role) { w.role.Store(&role) }

// Role returns this VM's role in reading the store for its failure domain.
func (w *Watcher) Role() Role { return *w.role.Load() }

// RequireVersion makes a VM that other VMs serve read the program's own table from the store, unless it has it at the given version. After the
// VM has written its registration, it should not wait until the reader of its failure domain passes the row on.
func (w *Watcher) RequireVersion(version int64) { w.requiredVersion.Store(version) }

// isBehind reports whether a table is older than the version that RequireVersion asks for.
func (w *Watcher) isBehind(table model.TableName) bool {
	version, _ := w.cached[table].versionAndTime()
	return table == state.Table && version < w.requiredVersion.Load()
}

// HasUnreadableTable reports whether a table cannot be read from the store now. Unless this VM is the reader, a table that peers keep
// current does not count.
func (w *Watcher) HasUnreadableTable() bool { return w.unreadableTables.Load() > 0 }

// recordAnswer records that the store answered.
func (w *Watcher) recordAnswer(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answeredAt = clock.Later(w.answeredAt, now)
}

// StoreAnsweredAt returns when the store last answered a read of this VM.
func (w *Watcher) StoreAnsweredAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.answeredAt
}

// AwaitChange waits until rows have changed after the given versions, for at most wait, and returns how long it waited.
func (w *Watcher) AwaitChange(versions map[model.TableName]int64, wait time.Duration) time.Duration {
	return w.AwaitChangeOr(versions, wait, nil)
}

// AwaitChangeOr waits like AwaitChange, but no longer than until a channel is closed.
func (w *Watcher) AwaitChangeOr(versions map[model.TableName]int64, wait time.Duration, closed <-chan struct{}) time.Duration {
	start := clock.Now()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		w.mu.Lock()
		changed := w.changed
		w.mu.Unlock()
		if w.changedAfter(versions) {
			return clock.Now().Sub(start)
		}
		select {
		case <-changed:
		case <-closed:
			return clock.Now().Sub(start)
		case <-timer.C:
			return clock.Now().Sub(start)
		}
	}
}

func (w *Watcher) changedAfter(versions map[model.TableName]int64) bool {
	for table, cached := range w.cached {
		if cached.changedAfter(versions[table]) {
			return true
		}
	}
	return false
}

// Versions returns the versions of the cached tables, 0 for one that was never read.
func (w *Watcher) Versions() map[model.TableName]int64 {
	versions := make(map[model.TableName]int64, len(w.cached))
	for table, cached := range w.cached {
		versions[table], _ = cached.versionAndTime()
	}
	return versions
}
