package coord

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/state"
)

var (
	errLeaseHeld = errors.New("another VM holds the coordinator lease")
	// errOrderPending reports that an order of the last holder may still be under way.
	errOrderPending = errors.Wrap(errLeaseHeld, "an order of the last holder may still be under way")
)

// coordinatorLease is this VM's side of the coordinator lease, the right to order new primaries. One VM at a time holds it, through a
// row of the store.
type coordinatorLease struct {
	self  model.VMID
	boot  model.BootID
	rows  model.RowStore
	cache *state.Cache
	log   *log.Logger

	mu sync.Mutex
	// held is the row as this VM last wrote it, and claimedAt when the claim or renewal was sent.
	held      state.CoordinatorLease
	claimedAt time.Time
	// users counts the claims that have not been undone by giveUp or dropUser, and the orders that may be under way.
	users int
	// orders are this process's orders that may be under way, by the number under which they were recorded.
	orders     map[int]pendingOrder
	orderCount int
	// settled holds the orders that were settled or not sent since the row was last known to be written.
	settled map[state.OrderID]bool
	// settledVersion is the version of the row whose orders are known to have been carried out.
	settledVersion int64
	// observedVersion is the last observed version of the row, and unchangedSince since when it has not changed.
	observedVersion int64
	unchangedSince  time.Time
}

// observe records since when the row has been unchanged.
func (l *coordinatorLease) observe(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observeLocked(now)
}

// observeLocked does what observe does and returns the row; the caller holds the lock.
func (l *coordinatorLease) observeLocked(now time.Time) state.CoordinatorLease {
	row := l.cache.Snapshot().Coordinator
	if row.Version != l.observedVersion || l.unchangedSince.IsZero() {
		l.observedVersion, l.unchangedSince = row.Version, now
	}
	return row
}

// claim claims the lease, or renews it if this VM holds it. Every successful claim must be followed by a call of giveUp or dropUser.
func (l *coordinatorLease) claim(ctx context.Context) (state.CoordinatorLease, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	row := l.observeLocked(now)
	if l.held.Version > row.Version {
		row = l.held // The cache does not have the last write of this process yet.
	}
	own, inherited := l.isOwn(row), l.isInherited(row)
	if own && row.Version == l.held.Version && elect.MayOrder(now, l.claimedAt) {
		l.users++
		return l.held, nil
	}
	wanted := l.claimOf(row, own || inherited)
	if !elect.MayClaim(now, wanted) {
		if wanted.OrderPending || wanted.FirstInEra {
			return state.CoordinatorLease{}, errOrderPending
		}
		return state.CoordinatorLease{}, errLeaseHeld
	}
	var orders []recordedOrder
	if (own || inherited) && row.Version != l.held.Version {
		orders = l.takeOverOrders(ctx, now, row)
	}
	if err := l.write(ctx, now, l.next(now, row)); err != nil {
		for _, order := range orders {
			l.dropOrder(order)
		}
		return state.CoordinatorLease{}, err
	}
	l.settleTakenOver(orders)
	l.users++
	return l.held, nil
}

// claimOf returns what decides on a claim of the lease whose row is as given; the caller holds the lock.
func (l *coordinatorLease) claimOf(row state.CoordinatorLease, heldHere bool) elect.LeaseClaim {
	era, eraSince := l.cache.Era()
	return elect.LeaseClaim{
		FirstInEra: state.EraOfFence(row.Fence) < era, EraSince: eraSince,
		Released: row.Released || row.Version == 0, HeldHere: heldHere, HolderEnded: holderEnded(l.cache.Snapshot(), row),
		OrderPending: len(row.Orders) > 0 && row.Version != l.settledVersion, PendingAge: leastAge(row.Orders),
		UnchangedSince: l.unchangedSince,
	}
}

// isOwn reports whether this process wrote the row and has not given the lease up, even if the answer to the write was lost.
func (l *coordinatorLease) isOwn(row state.CoordinatorLease) bool {
	return row.Fence > 0 && !row.Released && row.Holder == l.self && row.Boot == l.boot
}

// next returns the row of the next claim or renewal. The token stays the same as long as no other VM held the lease in between, so that an order of
// this VM which is late does not come under an older token. It is higher than all of earlier eras of the store, which may have forgotten them.
func (l *coordinatorLease) next(now time.Time, row state.CoordinatorLease) state.CoordinatorLease {
	next := state.CoordinatorLease{Holder: l.self, Boot: l.boot, Fence: row.Fence + 1, Version: row.Version, Orders: l.pending(now)}
	if row.Holder == l.self && row.Fence > 0 && !row.Released {
		next.Fence, next.Renewals = row.Fence, row.Renewals+1
	}
	era, _ := l.cache.Era()
	next.Fence = max(next.Fence, state.LeastFence(era))
	return next
}

// holderEnded reports whether the process that holds the lease has ended: its VM has registered another process since.
func holderEnded(s *state.Snapshot, row state.CoordinatorLease) bool {
	vm, known := s.VMs[row.Holder]
	return known && vm.Boot != row.Boot && vm.Version > row.Version
}

// write writes next to the row if the version of the row is still next.Version, and records next as held. claimedAt is when the claim or
// the last renewal was sent.
func (l *coordinatorLease) write(ctx context.Context, claimedAt time.Time, next state.CoordinatorLease) error {
	next.Write = state.NewWriteID()
	row, err := next.Row()
	if err != nil {
		return err
	}
	expected := model.StoredRow{Table: row.Table, Key: row.Key, Version: next.Version}
	version, err := l.rows.Apply(ctx, model.Change{Expected: []model.StoredRow{expected}, Writes: []model.StoredRow{row}})
	if errors.Is(err, model.ErrUncertain) {
		version, err = l.readBack(ctx, next)
	}
	if err != nil {
		return err
	}
	if state.EraOfFence(next.Fence) != model.EraOf(version) {
		return errors.Wrap(errLeaseHeld, "the store came back from an older copy meanwhile")
	}
	next.Version = version
	l.held, l.claimedAt = next, claimedAt
	clear(l.settled)
	l.log.Info("coordinator lease written", "fence", next.Fence, "renewals", next.Renewals, "released", next.Released, "orders", next.Orders, "row-version", version)
	return nil
}

// readBack reads the row after a lost answer, to establish whether the write took effect. The row of an earlier write of this process does not show
// that: it has other orders, or is older than the lease that this write would give.
func (l *coordinatorLease) readBack(ctx context.Context, want state.CoordinatorLease) (int64, error) {
	written, err := want.Row()
	if err != nil {
		return 0, err
	}
	page, err := l.rows.Rows(ctx, state.Table)
	if err != nil {
		return 0, err
	}
	version, tookEffect := state.VersionWritten(written, page.Rows)
	if !tookEffect {
		return 0, errors.Wrap(errLeaseHeld, "the claim did not take effect")
	}
	return version, nil
}

// mayOrder reports whether an order may still be sent under a fencing token.
func (l *coordinatorLease) mayOrder(now time.Time, fence int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held.Fence == fence && !l.held.Released && elect.MayOrder(now, l.claimedAt)
}

// holds reports whether this VM holds the lease now.
func (l *coordinatorLease) holds(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held.Fence > 0 && !l.held.Released && elect.MayUse(now, l.claimedAt)
}

// row returns the row of the lease, as a condition of changes that only the holder may make.
func (l *coordinatorLease) row() model.StoredRow {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := model.StoredRow{Table: state.Table, Key: state.KeyCoordinator, Version: l.held.Version}
	return r
}

// renewedSince reports whether this process has written the row of the lease since a version, and still holds the lease under a fencing token.
func (l *coordinatorLease) renewedSince(fence, version int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held.Fence == fence && !l.held.Released && l.held.Version > version
}

// giveUp undoes a claim, and gives the lease up once nothing on this VM uses it.
func (l *coordinatorLease) giveUp(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.users--
	if l.users > 0 || l.held.Fence == 0 || l.held.Released {
		return
	}
	next := l.held
	next.Released, next.Orders = true, nil
	if err := l.write(ctx, l.claimedAt, next); err != nil {
		l.log.Warn("coordinator lease not given up; it will expire", "fence", next.Fence, "error", err)
		l.held = state.CoordinatorLease{}
	}
}

// dropUser undoes a claim that only renewed a lease which its user already holds through an earlier claim.
func (l *coordinatorLease) dropUser() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.users--
}
