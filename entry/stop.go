package entry

import (
	"context"
	"time"

	"github.com/crocusshore/crocusshore/retry"
)

const (
	drainPollInterval = 20 * time.Millisecond
	// handOverTimeout bounds the time for giving up the quota shards.
	handOverTimeout = time.Second
)

// Stop shuts this VM down without interrupting requests: it first shows the load balancer and the peers that this VM is
// leaving, then waits up to the grace period for running requests and transactions to finish.
func (s *Server) Stop(ctx context.Context) error {
	grace := s.views.State().FleetSettings().GracePeriod
	s.log.Info("shutdown started", "grace", grace)
	s.leaving.Store(true)
	s.directory.MarkLeaving()
	s.handOver(ctx)
	retry.Sleep(ctx, s.options.BalancerDrainTime)
	s.refuseNewWork.Store(true)

	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	err := s.caller.Shutdown(ctx)
	for s.inFlight.Load() > 0 || s.executor.OpenTransactions() > 0 {
		if !retry.Sleep(ctx, drainPollInterval) {
			break
		}
	}
	s.log.Info("shutdown finished", "unfinished", s.inFlight.Load(), "transactions", s.executor.OpenTransactions())
	s.Kill()
	return err
}

func (s *Server) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if err := s.releaseShards(ctx); err != nil {
		s.log.Warn("giving up quota shards failed; other VMs will take them over", "error", err)
	}
}
