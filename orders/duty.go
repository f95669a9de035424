package orders

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/world"
)

var errLeaseHeld = errors.New("another VM holds the duty")

// coordinatorLease is the right to order new primaries, held by one VM at a time under a row of the store.
type coordinatorLease struct {
	self  model.VMID
	boot  model.BootID
	rows  model.RowStore
	world *world.Cache
	log   *log.Logger

	mu sync.Mutex
	// held is the row as this VM wrote it, and claimedAt when the call that wrote it was sent.
	held      world.CoordinatorLease
	claimedAt time.Time
	users     int
	// observedVersion and unchangedSince tell since when the row of another holder has not changed.
	observedVersion int64
	unchangedSince  time.Time
}

// observe remembers since when the row is as it is.
func (d *coordinatorLease) observe(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observeLocked(now)
}

func (d *coordinatorLease) observeLocked(now time.Time) world.CoordinatorLease {
	row := d.world.Snapshot().Coordinator
	if row.Version != d.observedVersion || d.unchangedSince.IsZero() {
		d.observedVersion, d.unchangedSince = row.Version, now
	}
	return row
}

// claim takes the duty, or renews it where this VM holds it.
func (d *coordinatorLease) claim(ctx context.Context) (world.CoordinatorLease, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	row := d.observeLocked(now)
	own := d.held.Fence > 0 && d.held.Version == row.Version
	if own && elect.MayOrder(now, d.claimedAt) {
		d.users++
		return d.held, nil
	}
	wanted := elect.LeaseClaim{
		Released: row.Released || row.Version == 0, HeldHere: own, HolderEnded: holderEnded(d.world.Snapshot(), row), UnchangedSince: d.unchangedSince,
	}
	if !elect.MayClaim(now, wanted) {
		return world.CoordinatorLease{}, errLeaseHeld
	}
	next := world.CoordinatorLease{Holder: d.self, Boot: d.boot, Fence: row.Fence + 1, Version: row.Version}
	if own && elect.MayUse(now, d.claimedAt) && !row.Released {
		next.Fence, next.Renewals = row.Fence, row.Renewals+1
	}
	if err := d.write(ctx, now, next); err != nil {
		return world.CoordinatorLease{}, err
	}
	d.users++
	return d.held, nil
}

// holderEnded tells whether the VM that holds the duty registered another process since, so that the one with the duty has ended.
func holderEnded(s *world.Snapshot, row world.CoordinatorLease) bool {
	vm, known := s.VMs[row.Holder]
	return known && vm.Boot != row.Boot && vm.Version > row.Version
}

func (d *coordinatorLease) write(ctx context.Context, now time.Time, next world.CoordinatorLease) error {
	row, err := next.Row()
	if err != nil {
		return err
	}
	expected := model.StoredRow{Table: row.Table, Key: row.Key, Version: next.Version}
	version, err := d.rows.Apply(ctx, model.Change{Expected: []model.StoredRow{expected}, Writes: []model.StoredRow{row}})
	if errors.Is(err, model.ErrUncertain) {
		version, err = d.readBack(ctx, next)
	}
	if err != nil {
		return err
	}
	next.Version = version
	d.held, d.claimedAt = next, now
	d.log.Info("duty written", "fence", next.Fence, "renewals", next.Renewals, "released", next.Released, "row", version)
	return nil
}

// readBack settles a lost answer: the row tells whether the write took effect.
func (d *coordinatorLease) readBack(ctx context.Context, want world.CoordinatorLease) (int64, error) {
	page, err := d.rows.Rows(ctx, world.Table)
	if err != nil {
		return 0, err
	}
	found, err := world.FindCoordinatorLease(page.Rows)
	if err != nil {
		return 0, err
	}
	if found.Holder != want.Holder || found.Boot != want.Boot || found.Fence != want.Fence || found.Renewals != want.Renewals || found.Released != want.Released {
		return 0, errors.Wrap(errLeaseHeld, "the claim did not take effect")
	}
	return found.Version, nil
}

// mayOrder tells whether an order may still be sent under a token.
func (d *coordinatorLease) mayOrder(now time.Time, fence int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.held.Fence == fence && !d.held.Released && elect.MayOrder(now, d.claimedAt)
}

// holds tells whether this VM holds the duty now.
func (d *coordinatorLease) holds(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.held.Fence > 0 && !d.held.Released && elect.MayUse(now, d.claimedAt)
}

// row returns the row under which changes are made.
func (d *coordinatorLease) row() model.StoredRow {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := model.StoredRow{Table: world.Table, Key: world.KeyCoordinator, Version: d.held.Version}
	return r
}

// release gives the duty back once nothing on this VM uses it.
func (d *coordinatorLease) release(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.users--
	if d.users > 0 || d.held.Fence == 0 || d.held.Released {
		return
	}
	next := d.held
	next.Released = true
	if err := d.write(ctx, d.claimedAt, next); err != nil {
		d.log.Warn("duty not given back; it lapses", "fence", next.Fence, "error", err)
		d.held = world.CoordinatorLease{}
	}
}

// dropUser undoes the count of a claim that only renewed what is used already.
func (d *coordinatorLease) dropUser() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.users--
}
