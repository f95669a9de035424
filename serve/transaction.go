package serve

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/sess"
)

// transaction is a caller's open transaction; it takes a connection at its first statement and keeps it to the end.
type transaction struct {
	op operation
	// begin is the caller's id of the statement that opened the transaction.
	begin model.RequestID
	// rollback is the caller's id of the statement that ends it without effect, empty where the proxy ends it.
	rollback model.RequestID
	readOnly bool
	wrote    bool
	to       choice
	conn     model.Connection
}

// begin opens a transaction without an instance yet.
func (c *caller) begin(command model.Command) (reply model.Reply, last bool) {
	if c.session.State != model.TxNone {
		return bad("a transaction is open"), false
	}
	op := c.admitOperation(clock.Now())
	if op.refusal.Fault != "" {
		c.report(op, command, "", op.refusal, 0)
		return op.refusal, op.endSession
	}
	c.tx = &transaction{op: op, begin: command.ID, readOnly: command.ReadOnly}
	c.session.State = model.TxOpen
	return model.Reply{}, false
}

// inside runs a statement in the open transaction.
func (c *caller) inside(command model.Command) model.Reply {
	if c.session.State == model.TxFailed {
		return bad("the transaction failed")
	}
	s, fault := c.statement(command)
	if fault != "" {
		return c.fail(model.Reply{Fault: fault, Detail: command.Name})
	}
	now := clock.Now()
	op := c.tx.op
	op.startedAt = now
	deadline := now.Add(op.route.Timeout)
	reply, ok := c.bind(now, deadline, command)
	if ok {
		reply = c.runInside(deadline, s)
	}
	c.report(op, command, c.tx.to.instance.Name, reply, 1)
	if reply.Fault != "" {
		return c.fail(reply)
	}
	c.tx.wrote = c.tx.wrote || s.write
	return reply
}

func (c *caller) runInside(deadline time.Time, s statement) model.Reply {
	step := sess.Step{Kind: sess.StepInside, Wrote: c.tx.wrote}
	sentAt := clock.Now()
	if c.tx.to.primary && !c.server.config.World.Holds(sentAt, c.tx.to.lease) {
		return model.Reply{Fault: model.FaultAborted, Detail: "the primary is being replaced"}
	}
	reply, err := c.send(c.tx.conn, deadline, s, model.Mark{})
	if err != nil {
		c.server.failed(c.tx.to.instance.Name, err)
		return model.Reply{Fault: sess.Unanswered(step, !clock.Now().Before(deadline)), Detail: "the instance did not answer"}
	}
	c.answered(sentAt, c.tx.op, c.tx.to, true, reply)
	if reply.Fault == "" && reply.State != model.TxOpen {
		c.tx.conn.Break()
		return model.Reply{Fault: model.FaultAborted, Detail: "the instance left the transaction"}
	}
	return sess.Answered(step, reply, true)
}

// bind gives the transaction a connection with an open transaction.
func (c *caller) bind(now, deadline time.Time, command model.Command) (model.Reply, bool) {
	if c.tx.conn != nil {
		return model.Reply{}, true
	}
	tried := map[model.InstanceName]bool{}
	var last attempt
	for range maxAttempts {
		to, ok := c.target(now, tried)
		if !ok || !now.Before(deadline) {
			break
		}
		tried[to.instance.Name] = true
		last = c.tryBegin(now, deadline, to)
		if last.err == nil && last.reply.Fault == "" {
			c.tx.to = to
			return model.Reply{}, true
		}
		c.server.config.Log.Debug("transaction not opened", "id", command.ID, "instance", to.instance.Name, "fault", last.reply.Fault, "error", last.err)
		now = clock.Now()
	}
	return c.server.refuse(model.FaultBusy, "no instance can open the transaction", comeBack), false
}

// target returns where the transaction can be opened.
func (c *caller) target(now time.Time, tried map[model.InstanceName]bool) (choice, bool) {
	if c.tx.readOnly {
		return c.untried(now, c.tx.op, tried)
	}
	to, ok := c.primary(c.tx.op)
	return to, ok && !tried[to.instance.Name]
}

func (c *caller) tryBegin(now, deadline time.Time, to choice) attempt {
	conn, err := c.get(now, c.tx.op, to)
	if err != nil {
		c.server.failed(to.instance.Name, err)
		return attempt{err: err}
	}
	sentAt := clock.Now()
	if to.primary && !c.server.config.World.Holds(sentAt, to.lease) {
		c.server.config.Source.Put(sentAt, conn)
		return attempt{err: errLease}
	}
	begin := model.Query{ID: c.tx.begin, Text: c.server.config.Phrases.Begin(c.tx.readOnly), Since: to.since}
	reply, err := conn.Run(c.attemptDeadline(sentAt, deadline), c.session.Values, begin)
	if err == nil && reply.Fault == "" && reply.State != model.TxOpen {
		err = errors.New("the instance did not open the transaction")
		conn.Break()
	}
	if err != nil || reply.Fault != "" {
		if err != nil {
			c.server.failed(to.instance.Name, err)
		}
		c.server.config.Source.Put(clock.Now(), conn)
		return attempt{reply: reply, err: err}
	}
	c.tx.conn = conn
	return attempt{reply: reply}
}

// commit ends the transaction and keeps what it wrote.
func (c *caller) commit(command model.Command) model.Reply {
	switch c.session.State {
	case model.TxNone:
		return bad("no transaction is open")
	case model.TxFailed:
		c.close()
		return model.Reply{Fault: model.FaultAborted, Detail: "the transaction failed before"}
	}
	now := clock.Now()
	op := c.tx.op
	op.startedAt = now
	deadline := now.Add(op.route.Timeout)
	reply, ok := c.bind(now, deadline, command)
	if ok {
		reply = c.runCommit(op, command, deadline)
	}
	c.report(op, command, c.tx.to.instance.Name, reply, 1)
	c.close()
	return reply
}

func (c *caller) runCommit(op operation, command model.Command, deadline time.Time) model.Reply {
	step := sess.Step{Kind: sess.StepCommit, Wrote: c.tx.wrote}
	reply, err := c.commitOn(c.tx.conn, op, statement{command: command}, c.tx.to, step, deadline)
	if err != nil {
		return model.Reply{Fault: model.FaultAborted, Detail: "the primary is being replaced"}
	}
	if reply.Fault != "" || reply.State != model.TxNone {
		c.tx.conn.Break()
		return reply
	}
	c.server.config.Source.Put(clock.Now(), c.tx.conn)
	c.tx.conn = nil
	return reply
}

// rollback ends the transaction without effect.
func (c *caller) rollback(command model.Command) model.Reply {
	if c.session.State == model.TxNone {
		return bad("no transaction is open")
	}
	c.tx.rollback = command.ID
	c.close()
	return model.Reply{}
}

// fail leaves a transaction that can only be ended; the connection goes back at once.
func (c *caller) fail(reply model.Reply) model.Reply {
	c.tx.end(c)
	c.session.State = model.TxFailed
	return reply
}

func (c *caller) close() {
	c.tx.end(c)
	c.tx = nil
	c.session.State = model.TxNone
}

// rollbackTimeout bounds the end of a transaction whose caller is not kept waiting for more.
const rollbackTimeout = 300 * time.Millisecond

// end rolls back what is open on the connection and returns it.
func (t *transaction) end(c *caller) {
	if t.conn == nil {
		return
	}
	conn := t.conn
	t.conn = nil
	if !conn.Broken() {
		reply, err := conn.Run(clock.Now().Add(rollbackTimeout), c.session.Values, model.Query{ID: t.rollback, Text: c.server.config.Phrases.Rollback()})
		if err != nil || reply.Fault != "" || reply.State != model.TxNone {
			conn.Break()
		}
	}
	c.server.config.Source.Put(clock.Now(), conn)
}
