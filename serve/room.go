package serve

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/memory"
	"github.com/crocusshore/crocusshore/model"
)

const (
	// connectionRetryAfter is the retry time of a session that was refused because its team has too many.
	connectionRetryAfter = time.Second
	// roomRetryAfter is the retry time of a message for which there was no memory.
	roomRetryAfter = 500 * time.Millisecond
)

// handleInvalid answers a message that is no statement, or a statement that was not kept because there was no memory for it. Nothing of it has run. An open
// transaction that lacks a statement fails, so that it cannot commit without it.
func (c *callerSession) handleInvalid() model.Reply {
	if !c.notKept {
		return badMessage("unknown statement")
	}
	c.notKept = false
	reply := c.noRoom()
	if c.session.State == model.TxOpen {
		return c.failTransaction(reply)
	}
	return reply
}

// noRoom returns the refusal of something for which there is no memory now.
func (c *callerSession) noRoom() model.Reply {
	return c.server.refuse(model.FaultBusy, memory.ErrNoRoom.Error(), roomRetryAfter)
}

// setSessionState records session values and prepared statements; they are set on a connection before the next statement.
func (c *callerSession) setSessionState(command model.Command) model.Reply {
	if c.session.State == model.TxFailed {
		return badMessage("the transaction failed")
	}
	if _, known := c.session.Prepared[command.Name]; command.Kind == model.CommandDeallocate && !known {
		return model.Reply{Fault: model.FaultNoStatement, Detail: command.Name}
	}
	err := c.account.SetSession(clock.Now(), c.session.SizeWith(command, memory.EntryBytes), c.session.EntriesWith(command))
	switch {
	case errors.Is(err, memory.ErrSessionFull):
		c.reported = true // These refusals are counted and have one line in the log for each second.
		return badMessage(err.Error())
	case err != nil:
		return c.noRoom()
	}
	c.session.Apply(command, memory.EntryBytes)
	return model.Reply{}
}

// putBack returns a connection after a statement outside a transaction, or after a transaction. One with large values or a large prepared statement is
// closed, since it would keep them.
func (c *callerSession) putBack(conn model.PooledConn) {
	if c.heavy || c.session.ValuesSize() > memory.HeavyBytes {
		conn.Break()
	}
	c.heavy = false
	c.server.config.Source.Put(clock.Now(), conn)
}
