package node

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/platform"
	"github.com/crocusshore/crocusshore/stand"
)

// fenceRecorder records the holders and the fencing tokens of the orders that it passes on.
type fenceRecorder struct {
	mu     sync.Mutex
	next   model.Promotions
	orders []model.PromoteOrder
}

func (r *fenceRecorder) Promote(ctx context.Context, order model.PromoteOrder) error {
	r.mu.Lock()
	r.orders = append(r.orders, order)
	r.mu.Unlock()
	return r.next.Promote(ctx, order)
}

// requireRising requires that no order came under a lower token than the one before, and that no two holders had the same.
func (r *fenceRecorder) requireRising(t *testing.T) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, order := range r.orders[1:] {
		before := r.orders[i]
		require.GreaterOrEqual(t, order.Fence, before.Fence, "%+v", r.orders)
		require.False(t, order.Fence == before.Fence && order.Holder != before.Holder, "%+v", r.orders)
	}
}

// release reports that the primary is leaving, and returns its name.
func (s *site) release(t *testing.T) model.InstanceName {
	t.Helper()
	name, _ := s.cluster.Primary()
	s.announce(s.cluster.Instance(name), "draining")
	return name
}

// awaitOtherPrimary waits until another instance is the recorded primary, and makes the former one stay.
func (s *site) awaitOtherPrimary(t *testing.T, former model.InstanceName, within time.Duration) {
	t.Helper()
	require.Eventually(t, func() bool {
		r := s.nodes[0].cache.Snapshot().Primaries[groupName]
		return r.Primary != former && r.Next == nil
	}, within, 5*time.Millisecond, "%s is replaced", former)
	s.announce(s.cluster.Instance(former), "ready")
}

// comeBack makes the store come back from a copy after it was away for a moment. What the operator and the instances wrote is written again.
func (s *site) comeBack(from stand.RowsCopy, away time.Duration) {
	s.rows.SetFaults(stand.RowsFaults{Unavailable: true})
	time.Sleep(away)
	s.rows.Restore(from, platform.TableSettings, platform.TableInstances)
	s.rows.SetFaults(stand.RowsFaults{})
}

// isConfirmed reports whether all nodes have a primary record of the present era.
func (s *site) isConfirmed() bool {
	for _, n := range s.nodes {
		snapshot := n.cache.Snapshot()
		if _, known := snapshot.Primaries[groupName]; !known || len(snapshot.Unconfirmed) > 0 {
			return false
		}
	}
	return true
}

// TestForgottenReplacementsAreNotRepeated guards against fencing tokens that repeat, and reads of a former primary, after the store came back from a copy of before
// two replacements: a VM that started later knew of none, and the others went on as if nothing had happened.
func TestForgottenReplacementsAreNotRepeated(t *testing.T) {
	t.Parallel()
	const handover, settled = 10 * time.Second, 25 * time.Second
	s := newSite(t, 3)
	recorder := &fenceRecorder{next: s.cluster}
	s.promotions = recorder
	s.restartAll()
	require.Eventually(t, s.ready, 5*time.Second, 20*time.Millisecond)
	s.commit(t, 5)
	kept := s.rows.Copy()
	for range 3 {
		s.awaitOtherPrimary(t, s.release(t), handover)
		s.commit(t, 5)
	}
	primary, _ := s.cluster.Primary()
	s.comeBack(kept, time.Second)
	back, calls := time.Now(), s.rows.Calls("vm-0")
	s.start(len(s.nodes)) // It knows nothing of before.
	require.True(t, s.serves(0), "what is known goes on")
	require.Eventually(t, s.isConfirmed, 5*time.Second, 5*time.Millisecond)
	t.Logf("confirmed after %s, %d calls to the store by vm-0", time.Since(back), s.rows.Calls("vm-0")-calls)
	for _, n := range s.nodes {
		require.Equal(t, primary, n.cache.Snapshot().Primaries[groupName].Primary)
	}
	s.awaitOtherPrimary(t, s.release(t), settled)
	s.commit(t, 5)
	recorder.requireRising(t)
	require.Empty(t, s.cluster.LostCommits())
	require.Empty(t, s.cluster.Violations())
}

// TestStoreThatComesBackDuringAReplacement guards against lost commits, groups without a primary, and orders under an older token if the store forgets a part of
// a replacement, whichever it is.
func TestStoreThatComesBackDuringAReplacement(t *testing.T) {
	const settled = 30 * time.Second
	for _, after := range []time.Duration{5, 20, 40, 60, 80, 110, 150, 250} {
		t.Run(fmt.Sprint(after*time.Millisecond), func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 3)
			recorder := &fenceRecorder{next: s.cluster}
			s.promotions = recorder
			s.restartAll()
			require.Eventually(t, s.ready, 5*time.Second, 20*time.Millisecond)
			s.commit(t, 5)
			kept := s.rows.Copy()
			former := s.release(t)
			time.Sleep(after * time.Millisecond)
			s.comeBack(kept, 100*time.Millisecond)
			require.Eventually(t, func() bool {
				primary, _ := s.cluster.Primary()
				return primary != "" && primary != former && s.isConfirmed() && s.serves(0)
			}, settled, 20*time.Millisecond)
			s.commit(t, 5)
			recorder.requireRising(t)
			require.Empty(t, s.cluster.LostCommits())
			require.Empty(t, s.cluster.Violations())
		})
	}
}
