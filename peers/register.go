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
	// registerPause is how often a VM looks whether its row is there.
	registerPause = 500 * time.Millisecond
	// registerTimeout bounds the time a stopping VM spends on its row.
	registerTimeout = 250 * time.Millisecond
)

// Register keeps the row of this VM in the store; without it the VM may not use any primary.
type Register struct {
	Self  world.VM
	Rows  model.Rows
	World *world.World
	Log   *log.Logger

	failing  bool
	stopping atomic.Bool
	// written is the version at which the row was last written.
	written int64
}

// Run writes the row wherever it is missing, until the context ends.
func (r *Register) Run(ctx context.Context) {
	for {
		if !r.stopping.Load() && r.missing() {
			r.write(ctx)
		}
		if !retry.Sleep(ctx, registerPause) {
			return
		}
	}
}

// missing tells whether the row is not there; a table that is older than the last write tells nothing.
func (r *Register) missing() bool {
	return r.World.State().VMs[r.Self.Name].Boot != r.Self.Boot && r.World.RowsVersion() >= r.written
}

func (r *Register) write(ctx context.Context) {
	row, err := r.Self.Row()
	if err == nil {
		var version int64
		version, err = r.Rows.Apply(ctx, model.Change{Writes: []model.StoredRow{row}})
		r.written = max(r.written, version)
	}
	if (err != nil) != r.failing {
		r.failing = err != nil
		r.Log.Warn("registration of this VM", "failing", r.failing, "error", err)
	}
}

// Remove deletes the row of a VM that ends now, so that no switch waits for it; the VM may use no primary afterwards.
func (r *Register) Remove(ctx context.Context) {
	r.stopping.Store(true)
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	own, known := r.World.State().VMs[r.Self.Name]
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
