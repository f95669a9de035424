package peers

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/retry"
	"github.com/crocusshore/crocusshore/state"
)

const (
	// registrationCheckInterval is the interval at which a VM checks whether its row exists.
	registrationCheckInterval = 500 * time.Millisecond
	// deregisterTimeout bounds how long a stopping VM waits for the deletion of its row.
	deregisterTimeout = 250 * time.Millisecond
)

// Registrar keeps the row of this VM in the store; without the row the VM may not use any primary.
type Registrar struct {
	Self  state.VM
	Rows  model.RowStore
	Cache *state.Cache
	Log   *log.Logger
	// OnWritten is called with the version at which the row was written.
	OnWritten func(version int64)

	failing  bool
	stopping atomic.Bool
	// writtenVersion is the version at which the row was last written.
	writtenVersion int64
}

// Run writes the row whenever it is missing, until the context ends.
func (r *Registrar) Run(ctx context.Context) {
	for {
		if !r.stopping.Load() && r.rowMissing() {
			r.write(ctx)
		}
		if !retry.Sleep(ctx, registrationCheckInterval) {
			return
		}
	}
}

// rowMissing reports whether the row is missing from the cached table. It returns false while the table is older than the last write.
func (r *Registrar) rowMissing() bool {
	return r.Cache.Snapshot().VMs[r.Self.Name].Boot != r.Self.Boot && r.Cache.TableVersion() >= r.writtenVersion
}

func (r *Registrar) write(ctx context.Context) {
	row, err := r.Self.Row()
	if err == nil {
		var version int64
		version, err = r.Rows.Apply(ctx, model.Change{Writes: []model.StoredRow{row}})
		r.writtenVersion = max(r.writtenVersion, version)
	}
	if err == nil {
		r.OnWritten(r.writtenVersion)
	}
	if (err != nil) != r.failing {
		r.failing = err != nil
		r.Log.Warn("write of this VM's registration", "failing", r.failing, "error", err)
	}
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
