package serve

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/evac"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/sess"
)

// transaction is a caller's open transaction; it takes a connection at its first statement and keeps it to the end.
type transaction struct {
	op operation
	// beginID is the caller's request id of the statement that opened the transaction.
	beginID model.RequestID
	// rollbackID is the caller's request id of the statement that rolls it back; it is empty if the proxy does so itself.
	rollbackID model.RequestID
	readOnly   bool
	wrote      bool
	// aborted is set if the transaction was rolled back because of an evacuation, which the caller has not been told yet.
	aborted bool
	target  target
	conn    model.PooledConn
}

// begin opens a transaction; an instance is chosen for it at its first statement.
func (c *callerSession) begin(command model.Command) (reply model.Reply, last bool) {
	if c.session.State != model.TxNone {
		return badMessage("a transaction is open"), false
	}
	op := c.admitOperation(clock.Now(), !command.ReadOnly)
	if op.refusal.Fault != "" {
		c.report(op, command, "", op.refusal, 0)
		return op.refusal, op.endSession
	}
	c.tx = &transaction{op: op, beginID: command.ID, readOnly: command.ReadOnly}
	c.session.State = model.TxOpen
	return model.Reply{}, false
}

// runInTransaction runs a statement in the open transaction.
func (c *callerSession) runInTransaction(command model.Command) model.Reply {
	if c.session.State == model.TxFailed {
		return badMessage("the transaction failed")
	}
	s, fault := c.resolveStatement(command)
	if fault != "" {
		return c.failTransaction(model.Reply{Fault: fault, Detail: command.Name})
	}
	now := clock.Now()
	if !c.server.drain.Load().mayRun(now) {
		return c.failTransaction(model.Reply{Fault: model.FaultAborted, Detail: stoppingDetail})
	}
	if reply, aborted := c.abortedReply(now, command); aborted {
		return c.failTransaction(reply)
	}
	op := c.tx.op
	op.startedAt = now
	reply, ok := c.bind(op, command)
	if ok {
		reply = c.advise(op, c.sendInTransaction(c.deadline(op), s))
	}
	c.report(op, command, c.tx.target.instance.Name, reply, 1)
	if reply.Fault != "" {
		return c.failTransaction(reply)
	}
	c.tx.wrote = c.tx.wrote || s.write
	return reply
}

func (c *callerSession) sendInTransaction(deadline time.Time, s statement) model.Reply {
	step := sess.Step{Kind: sess.StepInTransaction, Wrote: c.tx.wrote}
	if err := c.setup(c.tx.conn, deadline, c.tx.target.instance.Name, s.prepared); err != nil {
		return model.Reply{Fault: model.FaultAborted, Detail: "the instance did not take the values of the session"}
	}
	sentAt := clock.Now()
	if !c.server.mayContinue(sentAt, c.tx.target.instance) {
		return model.Reply{Fault: model.FaultAborted, Detail: evac.RefusalDetail}
	}
	if c.tx.target.primary && !c.server.config.Cache.LeaseValid(sentAt, c.tx.target.lease) {
		return model.Reply{Fault: model.FaultAborted, Detail: "the primary is being replaced"}
	}
	reply, err := c.send(c.tx.conn, deadline, s, model.Mark{})
	if err != nil {
		c.lastErr = err
		c.server.trackFailure(c.tx.target.instance.Name, err)
		return model.Reply{Fault: sess.UnansweredFault(step, !clock.Now().Before(deadline)), Detail: "the instance did not answer"}
	}
	c.recordAnswer(sentAt, c.tx.op, c.tx.target, true, reply)
	if reply.Fault == "" && reply.State != model.TxOpen { // Package conns refuses it, but an owner with an older program passes it on.
		c.tx.conn.Break()
		return model.Reply{Fault: model.FaultAborted, Detail: "the instance left the transaction"}
	}
	return sess.CallerReply(step, reply, true)
}

// bind opens the transaction on an instance, unless that is done already, and keeps the connection.
func (c *callerSession) bind(op operation, command model.Command) (refusal model.Reply, bound bool) {
	if c.tx.conn != nil {
		return model.Reply{}, true
	}
	round := newRound()
	for {
		to, refusal, found := c.transactionTarget(op, round)
		if refusal.Fault != "" {
			return refusal, false
		}
		if !found && c.server.excludesAll(op, !c.tx.readOnly) {
			return c.refuseExcluded(clock.Now(), op, !c.tx.readOnly), false
		}
		if !found {
			if !c.nextRound(op, round, !c.tx.readOnly) {
				retryAfter := c.roundRetryAfter(op, round, !c.tx.readOnly)
				return c.server.refuse(model.FaultBusy, "no instance can open the transaction", op.retryAfter(clock.Now(), retryAfter)), false
			}
			continue
		}
		last := c.tryBegin(op, to)
		c.server.endQuestion(to)
		round.add(to.instance.Name, last)
		if last.err == nil && last.reply.Fault == "" {
			c.tx.target = to
			return model.Reply{}, true
		}
		if reply, final := finalRefusal(last.err); final {
			return reply, false
		}
		c.server.config.Log.Debug("transaction not opened", "id", command.ID, "instance", to.instance.Name, "fault", last.reply.Fault, "error", last.err)
	}
}

// transactionTarget returns an instance on which the transaction can be opened, none if all have been tried, or a refusal.
func (c *callerSession) transactionTarget(op operation, r *round) (to target, refusal model.Reply, found bool) {
	if c.tx.readOnly {
		to, found = c.nextUntried(clock.Now(), op, r)
		return to, model.Reply{}, found
	}
	to, refusal, found = c.awaitPrimary(op)
	return to, refusal, found && !r.tried[to.instance.Name]
}

// tryBegin opens the transaction on an instance. If the answer on a connection may be an earlier one, it tries a new connection, where it cannot be.
func (c *callerSession) tryBegin(op operation, to target) attempt {
	last := c.beginOnce(op, to, false)
	if errors.Is(last.err, model.ErrUnmatched) {
		last = c.beginOnce(op, to, true)
	}
	return last
}

// beginOnce opens the transaction on one connection, which has not been used if unused is set.
func (c *callerSession) beginOnce(op operation, to target, unused bool) attempt {
	now := clock.Now()
	until := c.left(op).LatestStart()
	if c.tx.readOnly {
		until = c.attemptDeadline(now, until)
	}
	conn, err := c.getConnection(now, op, to, connectionNeed{until: until, unused: unused})
	if err != nil {
		c.server.trackFailure(to.instance.Name, err)
		return attempt{err: err, retryAfter: c.retryAfter(op, to, err)}
	}
	deadline := c.attemptDeadline(clock.Now(), c.deadline(op))
	if err := c.setup(conn, deadline, to.instance.Name, nil); err != nil {
		c.server.config.Source.Put(clock.Now(), conn)
		return attempt{err: err, retryAfter: c.retryAfter(op, to, err)}
	}
	sentAt := clock.Now()
	if err := c.server.mayStart(sentAt, op, to); err != nil {
		c.server.config.Source.Put(sentAt, conn)
		return attempt{err: err}
	}
	begin := model.Query{ID: c.tx.beginID, Kind: model.CommandBegin, Text: c.server.config.Formatter.Begin(c.tx.readOnly), Since: to.since}
	reply, err := conn.Run(deadline, begin)
	if err == nil && reply.Fault == "" && reply.State != model.TxOpen { // As in sendInTransaction.
		err = errors.New("the instance did not open the transaction")
		conn.Break()
	}
	if err == nil && !to.primary {
		c.server.recordReplicaMark(sentAt, to, reply)
	}
	if err != nil || reply.Fault != "" {
		c.server.trackFailure(to.instance.Name, err)
		c.lastErr = err
		c.server.config.Source.Put(clock.Now(), conn)
		return attempt{reply: reply, err: err, retryAfter: c.slotRetryAfter(op, to, reply.Fault)}
	}
	c.tx.conn = conn
	c.boundTo.Store(&to.instance)
	return attempt{reply: reply}
}
