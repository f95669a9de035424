package entry

import (
	"context"
	"time"

	"github.com/crocusshore/crocusshore/retry"
)

const (
	drainPollInterval = 20 * time.Millisecond
	// handOverTimeout bounds how long giving up the shards may take.
	handOverTimeout = time.Second
)

// Stop leaves the fleet without cutting a request: the balancer and the peers are told first,
// then what runs is finished within the grace period.
func (s *Server) Stop(ctx context.Context) error {
	grace := s.views.State().FleetSettings().GracePeriod
	s.log.Info("leaving", "grace", grace)
	s.leaving.Store(true)
	s.directory.MarkLeaving()
	s.handOver(ctx)
	retry.Sleep(ctx, s.options.BalancerDrainTime)
	s.refuseNewWork.Store(true)

	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	err := s.caller.Shutdown(ctx)
	for s.inFlight.Load() > 0 || s.home.OpenTransactions() > 0 {
		if !retry.Sleep(ctx, drainPollInterval) {
			break
		}
	}
	s.log.Info("left", "unfinished", s.inFlight.Load(), "transactions", s.home.OpenTransactions())
	s.Kill()
	return err
}

func (s *Server) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if err := s.releaseShards(ctx); err != nil {
		s.log.Warn("the quota shards could not be given up; others take them over", "error", err)
	}
}
