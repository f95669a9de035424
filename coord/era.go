package coord

import (
	"context"
	"time"

	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/retry"
	"github.com/crocusshore/crocusshore/state"
)

// mustOpenEra reports whether this VM has to claim the coordinator lease for the first time in the present era of the store. Once the row has a token of this
// era, no process has to wait for forgotten orders any more, whenever it started.
func (s *Supervisor) mustOpenEra(now time.Time) bool {
	era, since := s.config.Cache.Era()
	if state.EraOfFence(s.config.Cache.Snapshot().Coordinator.Fence) >= era {
		return false
	}
	return s.isRegistered() && elect.OrdersEnded(now.Add(-s.startDelay(now)), since)
}

// openEra claims the coordinator lease and gives it up. After a failure, it waits before it may be tried again.
func (s *Supervisor) openEra(ctx context.Context) {
	defer s.openingEra.Store(false)
	lease, err := s.claimLease(ctx)
	if err == nil {
		s.lease.giveUp(context.WithoutCancel(ctx))
	}
	s.config.Log.Info("first claim of the coordinator lease since the store came back from an older copy", "fence", lease.Fence, "error", err)
	retry.Sleep(ctx, retryDelay)
}
