package serve

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/remote"
	"github.com/crocusshore/crocusshore/sess"
)

// rollbackTimeout bounds the rollback of a transaction, for which the caller is kept waiting.
const rollbackTimeout = 300 * time.Millisecond

// commit commits the transaction.
func (c *callerSession) commit(command model.Command) model.Reply {
	switch c.session.State {
	case model.TxNone:
		return badMessage("no transaction is open")
	case model.TxFailed:
		c.closeTransaction()
		return model.Reply{Fault: model.FaultAborted, Detail: "the transaction failed before"}
	}
	now := clock.Now()
	if !c.server.drain.Load().mayRun(now) {
		c.closeTransaction()
		return model.Reply{Fault: model.FaultAborted, Detail: stoppingDetail}
	}
	if reply, aborted := c.abortedReply(now, command); aborted {
		c.closeTransaction()
		return reply
	}
	op := c.tx.op
	op.startedAt = now
	reply, ok := c.bind(op, command)
	if ok {
		reply = c.advise(op, c.runCommit(op, command, c.deadline(op)))
	}
	c.report(op, command, c.tx.target.instance.Name, reply, 1)
	c.closeTransaction()
	return reply
}

func (c *callerSession) runCommit(op operation, command model.Command, deadline time.Time) model.Reply {
	step := sess.Step{Kind: sess.StepCommit, Wrote: c.tx.wrote}
	reply, err := c.sendPossibleCommit(c.tx.conn, op, statement{command: command}, c.tx.target, step, deadline)
	if err != nil {
		detail := "the commit was not sent"
		if errors.IsAny(err, errLease, remote.ErrLease) {
			detail = "the primary is being replaced"
		}
		return model.Reply{Fault: model.FaultAborted, Detail: detail}
	}
	if reply.Fault != "" || reply.State != model.TxNone { // The state as in sendInTransaction.
		c.tx.conn.Break()
		return reply
	}
	c.putBack(c.tx.conn)
	c.tx.conn = nil
	c.boundTo.Store(nil)
	return reply
}

// rollback rolls the transaction back.
func (c *callerSession) rollback(command model.Command) model.Reply {
	if c.session.State == model.TxNone {
		return badMessage("no transaction is open")
	}
	c.tx.rollbackID = command.ID
	c.closeTransaction()
	return model.Reply{}
}

// failTransaction marks the transaction as failed, so that it can only be ended, and returns its connection at once.
func (c *callerSession) failTransaction(reply model.Reply) model.Reply {
	c.tx.rollbackAndRelease(c)
	c.session.State = model.TxFailed
	return reply
}

func (c *callerSession) closeTransaction() {
	c.tx.rollbackAndRelease(c)
	c.tx = nil
	c.session.State = model.TxNone
}

// rollbackAndRelease rolls back the transaction on its connection and returns the connection to the source.
func (t *transaction) rollbackAndRelease(c *callerSession) {
	if t.conn == nil {
		return
	}
	conn := t.conn
	t.conn = nil
	c.boundTo.Store(nil)
	if now := clock.Now(); !conn.Broken() && !c.server.mayContinue(now, t.target.instance) {
		c.logAborted(now, t)
		conn.Break() // A ROLLBACK would reach the evacuated instance; the end of the connection rolls back as well.
	}
	if !conn.Broken() {
		deadline := clock.Now().Add(rollbackTimeout)
		err := conn.Setup(deadline, c.session.Values, nil)
		var reply model.Reply
		if err == nil {
			reply, err = conn.Run(deadline, model.Query{ID: t.rollbackID, Kind: model.CommandRollback, Text: c.server.config.Formatter.Rollback()})
		}
		if err != nil || reply.Fault != "" || reply.State != model.TxNone { // The state as in sendInTransaction.
			conn.Break()
		}
	}
	c.putBack(conn)
}
