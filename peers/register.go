package peers

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/retry"
	"github.com/crocusshore/crocusshore/world"
)

const (
	// registrationCheckInterval is how often a VM looks whether its row is there.
	registrationCheckInterval = 500 * time.Millisecond
	// deregisterTimeout bounds the time a stopping VM spends on its row.
	deregisterTimeout = 250 * time.Millisecond
)

// Registrar keeps the row of this VM in the store; without it the VM may not use any primary.
type Registrar struct {
	Self  world.VM
	Rows  model.RowStore
	World *world.Cache
	Log   *log.Logger

	failing  bool
	stopping atomic.Bool
	// writtenVersion is the version at which the row was last written.
	writtenVersion int64
}

// Run writes the row wherever it is missing, until the context ends.
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

// rowMissing tells whether the row is not there; a table that is older than the last write tells nothing.
func (r *Registrar) rowMissing() bool {
	return r.World.Snapshot().VMs[r.Self.Name].Boot != r.Self.Boot && r.World.TableVersion() >= r.writtenVersion
}

func (r *Registrar) write(ctx context.Context) {
	row, err := r.Self.Row()
	if err == nil {
		var version int64
		version, err = r.Rows.Apply(ctx, model.Change{Writes: []model.StoredRow{row}})
		r.writtenVersion = max(r.writtenVersion, version)
	}
	if (err != nil) != r.failing {
		r.failing = err != nil
		r.Log.Warn("registration of this VM", "failing", r.failing, "error", err)
	}
}

// Remove deletes the row of a VM that ends now, so that no switch waits for it; the VM may use no primary afterwards.
func (r *Registrar) Remove(ctx context.Context) {
	r.stopping.Store(true)
	ctx, cancel := context.WithTimeout(ctx, deregisterTimeout)
	defer cancel()
	own, known := r.World.Snapshot().VMs[r.Self.Name]
	if !known || own.Boot != r.Self.Boot {
		return
	}
	row, err := own.Row()
	if err == nil {
		_, err = r.Rows.Apply(ctx, model.Change{Expected: []model.StoredRow{row}, Deletes: []model.StoredRow{row}})
	}
	if err != nil {
		r.Log.Warn("VM not removed from the table", "error", err)
	}
}
