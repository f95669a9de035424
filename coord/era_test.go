package coord

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
	"github.com/crocusshore/crocusshore/state"
)

// refreshAsOf updates the cached state of the process as if it had been read at an instant.
func (h *leaseClaimant) refreshAsOf(at time.Time) {
	h.t.Helper()
	page, err := h.coordinatorLease.rows.Rows(h.t.Context(), state.Table)
	require.NoError(h.t, err)
	require.NoError(h.t, h.cache.ApplyRows(page.Version, true, page.Rows, at))
	h.observe(clock.Now())
}

// longAgo is an instant after which no order of before can be under way.
func longAgo() time.Time { return clock.Now().Add(-elect.OrderLifetime - 2*time.Second) }

// TestTokensRiseThoughTheStoreForgotThem guards against fencing tokens that repeat: the store came back from a copy without the row of the lease, and a VM
// that knows nothing of before counted from one again.
func TestTokensRiseThoughTheStoreForgotThem(t *testing.T) {
	for name, next := range map[string]model.VMID{"another VM claims it": "b", "the same VM claims it": "a"} {
		t.Run(name, func(t *testing.T) {
			rows := stand.NewRows()
			kept := rows.Copy()
			newest := int64(0)
			for _, name := range []model.VMID{"a", "b", "a"} {
				holder := newLeaseClaimant(t, rows, name, "boot")
				holder.refresh()
				lease, err := holder.claim(t.Context())
				require.NoError(t, err)
				newest = lease.Fence
				holder.giveUp(t.Context())
			}
			rows.Restore(kept)
			later := newLeaseClaimant(t, rows, next, "later")
			later.refresh()
			_, err := later.claim(t.Context())
			require.ErrorIs(t, err, errOrderPending, "a forgotten order may be under way")
			later = newLeaseClaimant(t, rows, next, "later")
			later.refreshAsOf(longAgo())
			lease, err := later.claim(t.Context())
			require.NoError(t, err)
			require.Greater(t, lease.Fence, newest)
			third := newLeaseClaimant(t, rows, "c", "boot")
			later.giveUp(t.Context())
			third.refresh()
			again, err := third.claim(t.Context())
			require.NoError(t, err, "the era has a claim already, so that a new process need not wait")
			require.Equal(t, lease.Fence+1, again.Fence)
		})
	}
}

// TestHolderDoesNotKeepItsTokenOverAReturnOfTheStore guards against two holders under one token: the store forgot that the lease had been given up, and that
// another VM had claimed it since.
func TestHolderDoesNotKeepItsTokenOverAReturnOfTheStore(t *testing.T) {
	rows := stand.NewRows()
	holder, lease := newHolder(t, rows)
	rows.Restore(rows.Copy())
	require.False(t, holder.cache.Snapshot().Coordinator.Released)
	holder.refresh()
	_, err := holder.claim(t.Context())
	require.ErrorIs(t, err, errOrderPending)
	_, err = holder.recordOrder(t.Context(), lease.Fence, orderOfG)
	require.Error(t, err, "the order would not be known to others")
	later := newLeaseClaimant(t, rows, holder.self, holder.boot)
	later.refreshAsOf(longAgo())
	again, err := later.claim(t.Context())
	require.NoError(t, err)
	require.Greater(t, again.Fence, lease.Fence)
}

// TestOrderRecordedInAnotherEraIsNotSent guards against an order under a token of the era before: the row of the lease was the same in the copy, so that the record
// was written after the store had come back.
func TestOrderRecordedInAnotherEraIsNotSent(t *testing.T) {
	rows := stand.NewRows()
	holder, lease := newHolder(t, rows)
	holder.coordinatorLease.rows = &carelessRows{RowsClient: rows.Client("a"), rows: rows}
	rows.Restore(rows.Copy())
	_, err := holder.recordOrder(t.Context(), lease.Fence, orderOfG)
	require.ErrorIs(t, err, errLeaseHeld)
	require.False(t, holder.isPending("g"))
}

// TestEraIsOpenedOnce guards against processes that start long after a return of the store and await forgotten orders once more.
func TestEraIsOpenedOnce(t *testing.T) {
	rows := stand.NewRows()
	rows.Restore(rows.Copy())
	holder := newLeaseClaimant(t, rows, "a", "boot")
	holder.register()
	s := &Supervisor{
		config: Config{Self: "a", Boot: "boot", Cache: holder.cache, Rankings: state.NewRankings(holder.cache), Log: log.New(io.Discard)},
		lease:  holder.coordinatorLease,
	}
	holder.refreshAsOf(longAgo().Add(-5 * time.Second))
	require.True(t, s.mustOpenEra(clock.Now()))
	s.openEra(t.Context())
	holder.refresh()
	require.False(t, s.mustOpenEra(clock.Now()))
	require.True(t, holder.cache.Snapshot().Coordinator.Released)
}

// newConfirming returns a supervisor that knows a primary record, nil if none, and the store after it came back with another one.
func newConfirming(t *testing.T, known *state.PrimaryRecord, stored state.PrimaryRecord, dialer model.Dialer, since time.Time) (*Supervisor, *leaseClaimant) {
	t.Helper()
	rows := stand.NewRows()
	put := func(record state.PrimaryRecord) {
		row, err := record.Row()
		require.NoError(t, err)
		rows.Put(row.Table, row.Key, row.Value)
	}
	h := newLeaseClaimant(t, rows, "a", "boot")
	instances := []model.Instance{{Name: "i-1", Group: "g"}, {Name: "i-2", Group: "g"}, {Name: "i-3", Group: "g"}}
	h.cache.ApplyInstances(1, true, instances, nil, since)
	for at := since; at.Before(clock.Now()); at = at.Add(time.Second) {
		h.cache.ApplyInstances(1, false, nil, nil, at)
	}
	put(stored)
	kept := rows.Copy()
	if known != nil {
		put(*known)
		h.refreshAsOf(since.Add(-time.Second))
	}
	rows.Restore(kept)
	h.refreshAsOf(since)
	return &Supervisor{config: Config{Self: "a", Cache: h.cache, Rows: h.coordinatorLease.rows, Dialer: dialer, Log: log.New(io.Discard)}, lease: h.coordinatorLease}, h
}

// TestForgottenPromotionIsRecordedAgain guards against a group that is used as before a replacement which the store forgot, and against the loss of what is known of
// its replicas.
func TestForgottenPromotionIsRecordedAgain(t *testing.T) {
	stored := state.PrimaryRecord{Group: "g", Term: 1, Primary: "i-1", Replicas: []model.Incarnation{{Name: "i-2"}, {Name: "i-gone"}}}
	known := state.PrimaryRecord{Group: "g", Term: 2, Primary: "i-2", Replicas: []model.Incarnation{{Name: "i-1"}, {Name: "i-left"}}}
	instances := map[model.InstanceName]model.InstanceState{"i-1": followsTerm2, "i-2": leadsTerm2, "i-3": followsTerm2}
	for name, c := range map[string]struct {
		known    *state.PrimaryRecord
		replicas []model.InstanceName
	}{
		"by a VM that knows it": {&known, []model.InstanceName{"i-1", "i-3", "i-left", "i-gone"}},
		"by one that does not":  {nil, []model.InstanceName{"i-1", "i-3", "i-gone"}},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := newConfirming(t, c.known, stored, &changingDialer{states: instances}, clock.Now().Add(-3*time.Second))
			require.Error(t, s.confirmPrimary(t.Context(), "g"), "a recorded replica may come back")
			s, h := newConfirming(t, c.known, stored, &changingDialer{states: instances}, clock.Now().Add(-25*time.Second))
			require.NoError(t, s.confirmPrimary(t.Context(), "g"))
			h.refresh()
			snapshot := h.cache.Snapshot()
			require.Empty(t, snapshot.Unconfirmed)
			require.Equal(t, model.InstanceName("i-2"), snapshot.Primaries["g"].Primary)
			require.Equal(t, model.Term(2), snapshot.Primaries["g"].Term)
			require.ElementsMatch(t, c.replicas, names(snapshot.Primaries["g"].Replicas))
		})
	}
}

// TestPrimaryIsNotConfirmedWhileOneMayBePromoted guards against lost commits: a replica is paused for a promotion that the store forgot, and the old primary,
// which would go on until then, was confirmed.
func TestPrimaryIsNotConfirmedWhileOneMayBePromoted(t *testing.T) {
	stored := state.PrimaryRecord{Group: "g", Term: 1, Primary: "i-1", Replicas: []model.Incarnation{}}
	leadsTerm1 := model.InstanceState{Role: model.RolePrimary, Term: 1, Held: 1, Received: model.Mark{Term: 1, Position: 9}}
	instances := map[model.InstanceName]model.InstanceState{"i-1": leadsTerm1, "i-2": pausedForTerm2, "i-3": demotedAtTerm1}
	for name, c := range map[string]struct {
		since     time.Time
		confirmed bool
	}{
		"the order may be under way":      {clock.Now().Add(-3 * time.Second), false},
		"no order can be under way":       {longAgo(), true},
		"instances may not have returned": {clock.Now().Add(-time.Second), false},
	} {
		t.Run(name, func(t *testing.T) {
			s, h := newConfirming(t, nil, stored, &changingDialer{states: instances}, c.since)
			require.Equal(t, c.confirmed, s.confirmPrimary(t.Context(), "g") == nil)
			h.refresh()
			require.Equal(t, c.confirmed, len(h.cache.Snapshot().Unconfirmed) == 0)
		})
	}
}

// TestAnnouncementOfAnEarlierEraIsSuperseded guards against a run that goes on although the store has forgotten its announcement.
func TestAnnouncementOfAnEarlierEraIsSuperseded(t *testing.T) {
	stored := state.PrimaryRecord{Group: "g", Term: 1, Primary: "i-1"}
	s, h := newConfirming(t, &stored, stored, &changingDialer{}, clock.Now())
	r := &replacement{s: s, group: "g", record: h.cache.Snapshot().Primaries["g"]}
	require.True(t, r.superseded())
}

// TestFewVMsConfirmAPrimary guards against requests of all VMs to all instances at once after a return of the store.
func TestFewVMsConfirmAPrimary(t *testing.T) {
	rows := stand.NewRows()
	first := newLeaseClaimant(t, rows, "a", "boot")
	first.register()
	other := newLeaseClaimant(t, rows, "b", "boot")
	other.register()
	due := func(h *leaseClaimant, since time.Time) bool {
		for at := since; at.Before(clock.Now()); at = at.Add(time.Second) {
			h.cache.ApplyInstances(1, false, nil, nil, at)
		}
		h.refreshAsOf(since)
		s := &Supervisor{config: Config{Self: h.self, Boot: h.boot, Cache: h.cache, Rankings: state.NewRankings(h.cache)}, lease: h.coordinatorLease}
		return s.confirmDue(clock.Now())
	}
	require.NotEqual(t, due(first, clock.Now().Add(-3*time.Second)), due(other, clock.Now().Add(-3*time.Second)), "the reader of the failure domain")
	for _, name := range []model.VMID{"a", "b"} {
		require.False(t, due(newLeaseClaimant(t, rows, name, "boot"), clock.Now().Add(-time.Second)), "instances may not have registered again")
		require.True(t, due(newLeaseClaimant(t, rows, name, "boot"), longAgo()), "the readers have failed")
	}
}

// TestRecordOfAnInstanceThatDoesNotLeadGivesNoLease guards against reads of a former primary: none leads, so that the record of before stands and its primary has to be
// replaced, but it answers.
func TestRecordOfAnInstanceThatDoesNotLeadGivesNoLease(t *testing.T) {
	stored := state.PrimaryRecord{Group: "g", Term: 1, Primary: "i-1", Replicas: []model.Incarnation{}}
	instances := map[model.InstanceName]model.InstanceState{"i-1": demotedAtTerm1, "i-2": pausedForTerm2, "i-3": pausedForTerm2}
	s, h := newConfirming(t, nil, stored, &changingDialer{states: instances}, longAgo())
	require.NoError(t, s.confirmPrimary(t.Context(), "g"))
	h.refresh()
	record := h.cache.Snapshot().Primaries["g"]
	require.NotNil(t, record.Next)
	require.Equal(t, model.Term(2), record.Next.Term)
	require.True(t, isAbandoned(&state.Snapshot{Coordinator: state.CoordinatorLease{Fence: 1, Released: true}}, *record.Next), "it is resumed at once")
}
