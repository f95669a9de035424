package serve

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/conns"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/place"
	"github.com/crocusshore/crocusshore/state"
	"github.com/crocusshore/crocusshore/wait"
)

const (
	// leasePollInterval is the interval at which a statement that waits for an instance looks for one.
	leasePollInterval = 8 * time.Millisecond
	// minSlotPause is the shortest pause before a statement is tried again at an instance that had no slot.
	minSlotPause = time.Millisecond

	// stageNone is the stage of an outage in which no VM has announced that it replaces the primary.
	stageNone wait.Stage = "None"
	// stageFailing is the stage in which this VM may use instances that do not answer.
	stageFailing wait.Stage = "Failing"
	// stagePlanned and stageFailover follow the announcement; in stagePlanned the primary still answers.
	stagePlanned  wait.Stage = "Planned"
	stageFailover wait.Stage = "Failover"
	// stageOrdered follows the order for the promotion.
	stageOrdered wait.Stage = "Ordered"
	// stageExcluded is the stage in which no instance that could take an operation may be used: see Server.excludesAll.
	stageExcluded wait.Stage = "Excluded"
)

// awaitPrimary returns the primary of the operation's group. While it is being replaced, the operation waits as long as a new one may come
// in time; otherwise awaitPrimary returns the refusal.
func (c *callerSession) awaitPrimary(op operation) (to target, refusal model.Reply, found bool) {
	refusal, found = c.await(op, true, "the group has no primary now", func(now time.Time) bool {
		lease, leased := c.server.config.Cache.Lease(now, op.route.Group)
		to = target{instance: lease.Primary, primary: true, lease: lease}
		return leased
	})
	return to, refusal, found
}

// awaitInstance waits until an instance may take the operation, only the primary if primary is set. If none can be expected in time, it
// returns the refusal.
func (c *callerSession) awaitInstance(op operation, primary bool) (refusal model.Reply, found bool) {
	return c.await(op, primary, "no instance can take the operation now", func(now time.Time) bool {
		return c.server.hasInstance(now, op, primary)
	})
}

// await waits until what an operation needs is found, as long as that may come in time. It does not wait while all instances that could take the
// operation are excluded.
func (c *callerSession) await(op operation, primary bool, reason string, find func(now time.Time) bool) (refusal model.Reply, found bool) {
	s, need := c.server, supplyOf(op, primary)
	for {
		now := clock.Now()
		if s.excludesAll(op, primary) {
			return c.refuseExcluded(now, op, primary), false
		}
		if find(now) {
			s.outages.Available(need)
			return model.Reply{}, true
		}
		stage := s.stage(now, op.route.Group)
		decision := wait.Decide(now, s.outages.Missing(now, need, stage), c.left(op))
		if !decision.Wait {
			return s.refuse(model.FaultBusy, fmt.Sprintf("%s stage=%s", reason, stage), decision.RetryAfter), false
		}
		c.server.sleep(leasePollInterval)
	}
}

// left returns what the operation has left: the time until its deadline, and its work.
func (c *callerSession) left(op operation) wait.Request {
	work := min(c.server.config.Tracker.UsualWork(op.route.Name), wait.MaxWork(op.route.Timeout))
	return wait.Request{Deadline: c.deadline(op), Work: work}
}

// deadline returns the deadline of the operation's present statement.
func (c *callerSession) deadline(op operation) time.Time {
	return c.server.drain.Load().statementDeadline(op.startedAt, op.route.Timeout)
}

// stage returns how far the replacement of the primary of a group has come.
func (s *Server) stage(now time.Time, group model.GroupName) wait.Stage {
	snapshot := s.config.Cache.Snapshot()
	record := snapshot.Primaries[group]
	for _, order := range snapshot.Coordinator.Orders {
		if order.Group == group && order.Kind == state.OrderPromote {
			return stageOrdered
		}
	}
	_, registered := snapshot.Instances[record.Primary]
	health := s.config.Tracker.Health(now, record.Primary)
	switch {
	case record.Next == nil:
		return stageNone
	case registered && health.Failures == 0 && !health.ReportedFailing:
		return stagePlanned
	default:
		return stageFailover
	}
}

// pause waits before a statement that did not run is tried again, for the time after which that may succeed; 0 is an unknown time. It
// reports whether the operation still has time then.
func (c *callerSession) pause(op operation, after time.Duration) bool {
	now := clock.Now()
	after = op.retryAfter(now, after)
	if !wait.Decide(now, wait.At(now.Add(after)), c.left(op)).Wait {
		return false
	}
	c.server.sleep(after)
	return true
}

// retryAfter returns the time after which the operation may succeed, if it is known, and otherwise as long again as the operation has tried.
func (o operation) retryAfter(now time.Time, known time.Duration) time.Duration {
	if known > 0 {
		return known
	}
	return max(now.Sub(o.startedAt), leasePollInterval)
}

// refuse returns a refusal whose caller may return after a time; the returns of callers are spread.
func (s *Server) refuse(fault model.Fault, reason string, after time.Duration) model.Reply {
	after = wait.Spread(after, rand.Float64())
	return model.Reply{Fault: fault, Detail: s.config.RetryDetail(reason, after), RetryAfter: after}
}

// retryAfter returns the time after which an instance may take a statement that it did not take because of err; it is 0 if unknown. A primary that
// fails is expected to answer or to be replaced as others were before.
func (c *callerSession) retryAfter(op operation, to target, err error) time.Duration {
	switch {
	case !isFailing(err):
		return conns.RetryAfter(err)
	case to.primary:
		return c.failingRetryAfter(op, true)
	default:
		return place.AttemptInterval
	}
}

// isFailing reports whether an attempt ended with err because its instance fails, as was found now or just before.
func isFailing(err error) bool { return errors.Is(err, errRecentlyFailed) || showsFailure(err) }

// failingRetryAfter returns the time after which instances that are known to fail may answer, the primary or all that may serve a read: the time
// until the next attempt, unless they are expected to fail for longer than the operation has.
func (c *callerSession) failingRetryAfter(op operation, primary bool) time.Duration {
	now, need := clock.Now(), supplyOf(op, primary)
	need.answering = true
	forecast := c.server.outages.Missing(now, need, stageFailing)
	if decision := wait.Decide(now, forecast, c.left(op)); !decision.Wait {
		return decision.RetryAfter
	}
	return place.AttemptInterval
}

// slotRetryAfter returns the time after which an instance that has just refused a statement is expected to have a slot, if it had none, and
// otherwise 0. The VM that owns the connection sends the statement once a slot is expected.
func (c *callerSession) slotRetryAfter(op operation, to target, fault model.Fault) time.Duration {
	if fault != model.FaultBusy {
		return 0
	}
	return max(c.server.config.Tracker.UsualWork(op.route.Name)/time.Duration(max(1, to.instance.Slots)), minSlotPause)
}
