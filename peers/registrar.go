package peers

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/retry"
	"github.com/crocusshore/crocusshore/state"
)

const (
	// registrationCheckInterval is the interval at which a VM checks whether its row exists.
	registrationCheckInterval = 500 * time.Millisecond
	// tableCheckInterval is the interval at which a VM checks whether it has the table that its registration needs.
	tableCheckInterval = 10 * time.Millisecond
	// deregisterTimeout bounds how long a stopping VM waits for the deletion of its row.
	deregisterTimeout = 250 * time.Millisecond
)

// Registrar keeps the row of this VM in the store; without the row the VM may not use any primary.
type Registrar struct {
	Self  state.VM
	Rows  model.RowStore
	Cache *state.Cache
	Log   *log.Logger
	// OnWritten is called with the least version of the table that shows the row as it is.
	OnWritten func(version int64)

	failing  bool
	stopping atomic.Bool
	// neededVersion is the least version of the table that shows the row as it is, as far as this process knows.
	neededVersion int64
}

// Run writes the row whenever it is missing, until the context ends.
func (r *Registrar) Run(ctx context.Context) {
	r.awaitTable(ctx, 1)
	for ctx.Err() == nil {
		if !r.stopping.Load() && r.rowMissing() && r.write(ctx) {
			r.awaitTable(ctx, r.neededVersion)
			continue
		}
		retry.Sleep(ctx, registrationCheckInterval)
	}
}

// awaitTable waits until the cached table has a version, but no longer than until the next check.
func (r *Registrar) awaitTable(ctx context.Context, version int64) {
	for waited := time.Duration(0); waited < registrationCheckInterval && r.Cache.TableVersion() < version; waited += tableCheckInterval {
		retry.Sleep(ctx, tableCheckInterval)
	}
}

// rowMissing reports whether the row is missing from the cached table. It returns false while the table is older than the row.
func (r *Registrar) rowMissing() bool {
	return r.Cache.Snapshot().VMs[r.Self.Name].Boot != r.Self.Boot && r.Cache.TableVersion() >= r.neededVersion
}

// write writes the row in place of the one in the cached table, and reports whether the store has another one. Without that condition, a write that
// is performed late would replace the row of a later process of this VM, which would then count as ended.
func (r *Registrar) write(ctx context.Context) (changed bool) {
	cached := r.Cache.TableVersion()
	row, err := r.Self.Row()
	if err == nil {
		expected := model.StoredRow{Table: row.Table, Key: row.Key, Version: r.Cache.Snapshot().VMs[r.Self.Name].Version}
		var version int64
		version, err = r.Rows.Apply(ctx, model.Change{Expected: []model.StoredRow{expected}, Writes: []model.StoredRow{row}})
		r.neededVersion = max(r.neededVersion, version)
	}
	if changed = errors.Is(err, model.ErrConflict); changed {
		r.neededVersion = max(r.neededVersion, cached+1)
	}
	if err == nil || changed {
		r.OnWritten(r.neededVersion)
	}
	if (err != nil) != r.failing {
		r.failing = err != nil
		r.Log.Warn("write of this VM's registration", "failing", r.failing, "error", err)
	}
	return changed
}

// Remove deletes the row of this VM when the process ends, so that no replacement of a primary waits for this VM. The VM may not use any
// primary afterwards.
func (r *Registrar) Remove(ctx context.Context) {
	r.stopping.Store(true)
	ctx, cancel := context.WithTimeout(ctx, deregisterTimeout)
	defer cancel()
	own, known := r.Cache.Snapshot().VMs[r.Self.Name]
	if !known || own.Boot != r.Self.Boot {
		return
	}
	row, err := own.Row()
	if err == nil {
		_, err = r.Rows.Apply(ctx, model.Change{Expected: []model.StoredRow{row}, Deletes: []model.StoredRow{row}})
	}
	if err != nil {
		r.Log.Warn("cannot remove this VM's registration", "error", err)
	}
}
