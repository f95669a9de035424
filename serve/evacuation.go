package serve

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/evac"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
	"github.com/crocusshore/crocusshore/sess"
	"github.com/crocusshore/crocusshore/state"
)

const (
	// minExcludedRetryAfter is the minimum retry time of a request that only excluded instances could run. A planned replacement takes about as long, until
	// all VMs know of it.
	minExcludedRetryAfter = 500 * time.Millisecond
	// excludedReason is the reason in a refusal of an operation that only excluded instances could run.
	excludedReason = "the instances that could take the operation are evacuated or not in a home region"
)

// errExcluded reports that nothing was sent because the failure domain of the instance is evacuated or in no home region.
var errExcluded = errors.New("the instance is evacuated or not in a home region")

// excludes reports whether an instance may not take new statements of an operation, because of an evacuation or home regions.
func (s *Server) excludes(snapshot *state.Snapshot, op operation, instance model.Instance) bool {
	if !snapshot.Evacuated.MayStart(instance.Domain) {
		return true
	}
	return op.homes.Restricted() && !op.homes.Allow(s.regions(), instance.Domain)
}

// mayExclude reports whether excludes may be true for any instance; it spares the check of each.
func mayExclude(snapshot *state.Snapshot, op operation) bool {
	return len(snapshot.Evacuated) > 0 || op.homes.Restricted()
}

// regions returns the regions of the failure domains, or nil in a deployment without regions.
func (s *Server) regions() policy.Regions {
	if s.config.Regions == nil {
		return nil
	}
	return s.config.Regions()
}

// excludesAll reports whether every instance that could take an operation is excluded, only the primary if primary is set. Then no wait helps.
func (s *Server) excludesAll(op operation, primary bool) bool {
	snapshot := s.config.Cache.Snapshot()
	if !mayExclude(snapshot, op) {
		return false
	}
	if primary || op.route.Consistency == policy.ConsistencyPrimary {
		instance, _, known := snapshot.Primary(op.route.Group)
		return known && s.excludes(snapshot, op, instance)
	}
	members := snapshot.GroupInstances(op.route.Group)
	for _, instance := range members {
		if !s.excludes(snapshot, op, instance) {
			return false
		}
	}
	return len(members) > 0
}

// refuseExcluded refuses an operation that only excluded instances could run. The retry time is estimated from how long this took
// before.
func (c *callerSession) refuseExcluded(now time.Time, op operation, primary bool) model.Reply {
	need := supplyOf(op, primary)
	need.excluded = true
	expected := c.server.outages.Missing(now, need, stageExcluded).Expected
	return c.server.refuse(model.FaultBusy, excludedReason, max(expected.Sub(now), minExcludedRetryAfter))
}

// mayStart returns errExcluded or errLease if an instance may not take a new statement of an operation now.
func (s *Server) mayStart(now time.Time, op operation, to target) error {
	if s.excludes(s.config.Cache.Snapshot(), op, to.instance) {
		return errExcluded
	}
	return s.checkLease(now, to)
}

// checkLease returns errLease if the instance is used as a primary without a valid lease.
func (s *Server) checkLease(now time.Time, to target) error {
	if to.primary && !s.config.Cache.LeaseValid(now, to.lease) {
		return errLease
	}
	return nil
}

// maySend returns errExcluded or errLease if the instance may not take a single write or the commit of a transaction now.
func (s *Server) maySend(now time.Time, op operation, to target, step sess.Step) error {
	switch {
	case step.Kind == sess.StepWrite:
		return s.mayStart(now, op, to)
	case !s.mayContinue(now, to.instance):
		return errExcluded
	default:
		return s.checkLease(now, to)
	}
}

// mayContinue reports whether a transaction that is open on an instance may go on.
func (s *Server) mayContinue(now time.Time, instance model.Instance) bool {
	return s.config.Cache.Snapshot().Evacuated.MayContinue(now, instance.Domain, s.config.EvacuationBound)
}

// MayRun reports whether an instance may take a statement of a caller, one of an open transaction if open is set.
func (s *Server) MayRun(now time.Time, instance model.Instance, open bool) bool {
	if open {
		return s.mayContinue(now, instance)
	}
	return s.config.Cache.Snapshot().Evacuated.MayStart(instance.Domain)
}

// observeEvacuations reports the number of evacuated failure domains, and wakes the sessions whose transactions have to end.
func (s *Server) observeEvacuations(now time.Time) {
	evacuated := s.config.Cache.Snapshot().Evacuated
	if len(evacuated) != s.evacuatedCount {
		s.evacuatedCount = len(evacuated)
		s.config.Metrics.Gauge("evacuated_domains").Update(float64(s.evacuatedCount))
	}
	if len(evacuated) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.sessions {
		if bound := c.boundTo.Load(); bound != nil && !s.mayContinue(now, *bound) {
			c.conn.Interrupt()
		}
	}
}

// abortIfEvacuated ends the open transaction of an idle session whose instance may not be used any more. The caller is told with its next statement.
func (c *callerSession) abortIfEvacuated(now time.Time) {
	if c.tx == nil || c.tx.conn == nil || c.server.mayContinue(now, c.tx.target.instance) {
		return
	}
	c.tx.aborted = true
	c.tx.rollbackAndRelease(c)
}

// abortedReply returns the reply to a statement in a transaction that was aborted, or has to be now, because of an evacuation.
func (c *callerSession) abortedReply(now time.Time, command model.Command) (reply model.Reply, aborted bool) {
	c.abortIfEvacuated(now)
	if !c.tx.aborted {
		return model.Reply{}, false
	}
	op := c.tx.op
	op.startedAt = now
	reply = model.Reply{Fault: model.FaultAborted, Detail: evac.RefusalDetail}
	c.report(op, command, c.tx.target.instance.Name, reply, 0)
	return reply, true
}

// logAborted logs a transaction whose connection is closed because of an evacuation. It does so once for a transaction.
func (c *callerSession) logAborted(now time.Time, t *transaction) {
	evacuation := c.server.config.Cache.Snapshot().Evacuated[t.target.instance.Domain]
	c.server.config.Metrics.Counter("evacuation_aborts").Inc(1)
	c.server.config.Log.Info("transaction aborted by an evacuation", "id", t.beginID, "instance", t.target.instance.Name,
		"domain", t.target.instance.Domain, "team", t.op.team, "since-learned", now.Sub(evacuation.LearnedAt).Round(time.Millisecond))
}
