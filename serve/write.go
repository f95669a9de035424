package serve

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/remote"
	"github.com/crocusshore/crocusshore/sess"
)

// leasePollInterval is the interval at which a statement that waits for a primary looks for a lease.
const leasePollInterval = 8 * time.Millisecond

// awaitPrimary returns the primary of the operation's group; while it is being replaced, it waits as long as the latency objective allows.
func (c *callerSession) awaitPrimary(op operation) (target, bool) {
	waitUntil := c.waitUntil(op, op.startedAt)
	for {
		now := clock.Now()
		lease, ok := c.server.config.Cache.Lease(now, op.route.Group)
		if ok {
			return target{instance: lease.Primary, primary: true, lease: lease}, true
		}
		if !now.Before(waitUntil) {
			return target{}, false
		}
		time.Sleep(leasePollInterval)
	}
}

// write runs a single write at most once.
func (c *callerSession) write(op operation, s statement) model.Reply {
	step := sess.Step{Kind: sess.StepWrite}
	deadline := c.server.drain.Load().statementDeadline(op.startedAt, op.route.Timeout)
	waitUntil := c.waitUntil(op, op.startedAt)
	var reply model.Reply
	var to target
	for attempts := 1; ; attempts++ {
		var known bool
		to, known = c.awaitPrimary(op)
		if !known {
			reply = c.server.refuse(model.FaultBusy, "the group has no primary now", defaultRetryAfter)
			c.report(op, s.command, "", reply, attempts)
			return reply
		}
		reply = c.tryWrite(op, s, to, step, deadline)
		if !reply.Fault.NotRun() || attempts >= maxAttempts || !clock.Now().Add(busyPause).Before(waitUntil) {
			c.report(op, s.command, to.instance.Name, reply, attempts)
			return reply
		}
		time.Sleep(busyPause)
	}
}

func (c *callerSession) tryWrite(op operation, s statement, to target, step sess.Step, deadline time.Time) model.Reply {
	conn, err := c.getConnection(clock.Now(), op, to)
	if err != nil {
		c.server.trackFailure(to.instance.Name, err)
		return c.server.refuse(model.FaultBusy, "the primary takes no connection", defaultRetryAfter)
	}
	defer func() { c.server.config.Source.Put(clock.Now(), conn) }()
	reply, err := c.sendPossibleCommit(conn, op, s, to, step, deadline)
	switch {
	case errors.IsAny(err, errLease, remote.ErrLease):
		return c.server.refuse(model.FaultBusy, "the primary is being replaced", defaultRetryAfter)
	case err != nil:
		return c.server.refuse(model.FaultBusy, "the primary takes no connection", defaultRetryAfter)
	}
	return reply
}

// sendPossibleCommit sends a statement that may commit; an error means that nothing was sent. Until it is settled what the statement
// committed, confirmations of this VM are not complete; see KnownCommits.
func (c *callerSession) sendPossibleCommit(conn model.PooledConn, op operation, s statement, to target, step sess.Step, deadline time.Time) (model.Reply, error) {
	group := op.route.Group
	c.server.inflight.add(group, 1)
	defer c.server.inflight.add(group, -1)
	settled := true
	if step.MayCommit() {
		c.server.sent.begin(group)
		defer func() { c.server.sent.end(clock.Now(), group, settled) }()
	}
	sentAt := clock.Now()
	if to.primary && !c.server.config.Cache.LeaseValid(sentAt, to.lease) {
		return model.Reply{}, errLease
	}
	reply, err := c.send(conn, deadline, s, model.Mark{})
	now := clock.Now()
	if err != nil {
		c.server.trackFailure(to.instance.Name, err)
		if errors.Is(err, model.ErrNotSent) {
			return model.Reply{}, err
		}
		settled = false
		if step.MayCommit() && !errors.Is(err, remote.ErrOwnerNoAnswer) {
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
