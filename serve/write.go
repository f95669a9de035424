package serve

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/conns"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/remote"
	"github.com/crocusshore/crocusshore/sess"
)

// write runs a single write at most once.
func (c *callerSession) write(op operation, s statement) model.Reply {
	step := sess.Step{Kind: sess.StepWrite}
	var reply model.Reply
	var to target
	for attempts := 1; ; attempts++ {
		var found bool
		to, reply, found = c.awaitPrimary(op)
		if !found {
			c.report(op, s.command, "", reply, attempts)
			return reply
		}
		var retryAfter time.Duration
		reply, retryAfter = c.tryWrite(op, s, to, step)
		if !reply.Fault.NotRun() || !c.pause(op, retryAfter) {
			reply = c.advise(op, reply)
			c.report(op, s.command, to.instance.Name, reply, attempts)
			return reply
		}
	}
}

// tryWrite runs a write on the primary. If it did not run, it may after retryAfter, which is 0 if unknown.
func (c *callerSession) tryWrite(op operation, s statement, to target, step sess.Step) (reply model.Reply, retryAfter time.Duration) {
	now := clock.Now()
	conn, err := c.getConnection(now, op, to, connectionNeed{until: c.left(op).LatestStart()})
	if err != nil {
		c.server.trackFailure(to.instance.Name, err)
		return c.refuseNotSent(op, to, err)
	}
	defer c.putBack(conn)
	reply, err = c.sendPossibleCommit(conn, op, s, to, step, c.deadline(op))
	if err != nil {
		return c.refuseNotSent(op, to, err)
	}
	return reply, c.slotRetryAfter(op, to, reply.Fault)
}

// refuseNotSent returns the refusal of a write of which the primary received nothing because of err, and the time after which it may.
func (c *callerSession) refuseNotSent(op operation, to target, err error) (refusal model.Reply, retryAfter time.Duration) {
	if reply, final := finalRefusal(err); final {
		return reply, 0
	}
	reason := "the primary takes no connection"
	if errors.IsAny(err, errLease, remote.ErrLease) {
		reason = "the primary is being replaced"
	}
	if errors.Is(err, errExcluded) {
		reason = excludedReason
	}
	retryAfter = op.retryAfter(clock.Now(), c.retryAfter(op, to, err))
	return c.server.refuse(model.FaultBusy, reason, retryAfter), retryAfter
}

// finalRefusal returns the reply to a statement that was not sent because the instance refused a value or a prepared statement of its session, and
// whether it would do so again.
func finalRefusal(err error) (reply model.Reply, final bool) {
	refused, ok := model.Refused(err)
	if !ok || !errors.Is(err, conns.ErrValuesRefused) || refused.Fault.NotRun() {
		return model.Reply{}, false
	}
	return model.Reply{Fault: model.FaultAborted, Detail: conns.ErrValuesRefused.Error() + ": " + refused.Error()}, true
}

// sendPossibleCommit sends a statement that may commit; an error means that nothing was sent. Until it is settled what the statement
// committed, confirmations of this VM are not complete; see KnownCommits.
func (c *callerSession) sendPossibleCommit(conn model.PooledConn, op operation, s statement, to target, step sess.Step, deadline time.Time) (model.Reply, error) {
	group := op.route.Group
	c.server.inflight.add(group, 1)
	defer c.server.inflight.add(group, -1)
	if err := c.setup(conn, deadline, to.instance.Name, s.prepared); err != nil {
		return model.Reply{}, err
	}
	s.commits = step.MayCommit()
	settled := true
	if step.MayCommit() {
		c.server.sent.begin(group)
		defer func() { c.server.sent.end(clock.Now(), group, settled) }()
	}
	sentAt := clock.Now()
	if err := c.server.maySend(sentAt, op, to, step); err != nil {
		return model.Reply{}, err
	}
	reply, err := c.send(conn, deadline, s, model.Mark{})
	now := clock.Now()
	if err != nil {
		c.server.trackFailure(to.instance.Name, err)
		c.lastErr = err
		if errors.Is(err, model.ErrNotSent) {
			return model.Reply{}, err
		}
		settled = false
		if step.MayCommit() && !errors.IsAny(err, remote.ErrOwnerNoAnswer, model.ErrUnmatched) {
			c.server.commits.recordUnanswered(now, sentAt, group, to.lease.Term)
		}
		return model.Reply{Fault: sess.UnansweredFault(step, !now.Before(deadline)), Detail: "the primary did not answer"}, nil
	}
	c.recordAnswer(sentAt, op, to, step.Kind == sess.StepWrite, reply)
	settled = step.Settles(reply)
	if settled && reply.Fault == "" && step.MayCommit() {
		c.server.commits.recordAnswered(group, reply.Mark)
	}
	return c.finalReply(now, to, step, reply), nil
}

// finalReply returns the reply to the caller for the answer to a statement that may have committed. Meanwhile no confirmation is
// recorded that the primary is no longer used, because a confirmation reports what was acknowledged until then.
func (c *callerSession) finalReply(now time.Time, to target, step sess.Step, reply model.Reply) model.Reply {
	c.server.confirmMu.RLock()
	defer c.server.confirmMu.RUnlock()
	group := to.instance.Group
	result := sess.CallerReply(step, reply, !to.primary || c.server.config.Cache.MayAcknowledge(now, to.lease))
	if result.Fault == "" && step.MayCommit() {
		c.session.RecordCommit(group, reply.Mark)
		c.server.commits.recordAcked(now, group)
	}
	return result
}
