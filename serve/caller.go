package serve

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
	"github.com/crocusshore/crocusshore/sess"
)

const (
	// helloTimeout bounds the wait for the first message of a session.
	helloTimeout = 5 * time.Second
	// lastWait is how long a session that is about to be closed is still asked for a statement that was on its way.
	lastWait = 60 * time.Millisecond
)

// caller is one session.
type caller struct {
	server  *Server
	conn    model.CallerConn
	hello   model.Hello
	session *sess.Session
	tx      *transaction
	// last is the connection that ran the last statement.
	last model.Connection

	inTransaction atomic.Bool
	// expired tells that open transactions have to end because the process stops.
	expired atomic.Bool
}

func newCaller(server *Server, conn model.CallerConn) *caller {
	return &caller{server: server, conn: conn, session: sess.New()}
}

func (c *caller) run() {
	hello, err := c.conn.Hello(time.Now().Add(helloTimeout))
	if err != nil {
		c.server.config.Log.Debug("session refused", "error", err)
		return
	}
	c.hello = hello
	if _, _, fault := c.admit(); fault != "" {
		c.server.config.Log.Info("session refused", "database", hello.Database, "fault", fault, "policy", c.version())
		if err := c.conn.Reject(fault, ""); err != nil {
			c.server.config.Log.Debug("refusal not delivered", "error", err)
		}
		return
	}
	if err := c.conn.Welcome(); err != nil {
		return
	}
	c.loop()
	c.leave()
}

// admit checks database and key against the settings in force.
func (c *caller) admit() (policy.Route, model.TeamName, model.Fault) {
	p := c.server.config.World.State().Policy
	if p == nil {
		return policy.Route{}, "", model.FaultBusy
	}
	return p.Admit(c.hello)
}

func (c *caller) version() int64 {
	if p := c.server.config.World.State().Policy; p != nil {
		return p.Version
	}
	return 0
}

func (c *caller) loop() {
	for {
		command, err := c.next()
		if err != nil || command.Kind == model.CommandQuit {
			return
		}
		reply, last := c.handle(command)
		reply = c.server.advise(reply)
		reply.State = c.session.State
		c.inTransaction.Store(c.session.State != model.TxNone)
		if err := c.conn.Answer(reply); err != nil || last {
			return
		}
	}
}

// next waits for a statement; a session that is to end, outside a transaction, gets only a short while.
func (c *caller) next() (model.Command, error) {
	command, err := c.conn.Next(c.deadline())
	if err == nil || !isTimeout(err) || !c.server.ending() {
		return command, err
	}
	if c.session.State != model.TxNone && !c.expired.Load() {
		return c.conn.Next(c.deadline())
	}
	return c.conn.Next(time.Now().Add(lastWait))
}

func (c *caller) deadline() time.Time {
	idle := time.Duration(0)
	if p := c.server.config.World.State().Policy; p != nil {
		idle = p.TxIdle
	}
	switch {
	case c.session.State != model.TxNone && idle > 0:
		return time.Now().Add(idle)
	case c.server.ending():
		return time.Now().Add(lastWait)
	default:
		return time.Time{}
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// leave ends what the session leaves open.
func (c *caller) leave() {
	if c.tx != nil {
		c.tx.end(c)
		c.tx = nil
	}
}

// handle runs one statement; last tells that the session ends after the answer.
func (c *caller) handle(command model.Command) (reply model.Reply, last bool) {
	switch command.Kind {
	case model.CommandSet, model.CommandPrepare, model.CommandDeallocate:
		return c.remember(command), false
	case model.CommandBegin:
		return c.begin(command)
	case model.CommandRollback:
		return c.rollback(command), false
	case model.CommandCommit:
		return c.commit(command), false
	case model.CommandRead, model.CommandWrite, model.CommandExecute:
		if c.session.State == model.TxNone {
			return c.single(command)
		}
		return c.inside(command), false
	default:
		return bad("unknown statement"), false
	}
}

func bad(detail string) model.Reply {
	return model.Reply{Fault: model.FaultBadMessage, Detail: detail}
}

// remember keeps session values and prepared statements; a connection gets them before the next statement.
func (c *caller) remember(command model.Command) model.Reply {
	if c.session.State == model.TxFailed {
		return bad("the transaction failed")
	}
	switch command.Kind {
	case model.CommandSet:
		c.session.Set(command.Name, command.Value)
	case model.CommandPrepare:
		c.session.Prepared[command.Name] = command.Prepared
	default:
		if _, known := c.session.Prepared[command.Name]; !known {
			return model.Reply{Fault: model.FaultNoStatement, Detail: command.Name}
		}
		delete(c.session.Prepared, command.Name)
	}
	return model.Reply{}
}

// operation is a checked single statement or transaction.
type operation struct {
	route     policy.Route
	team      model.TeamName
	startedAt time.Time
	version   int64
	// admittedBy is the VM that found the operation to be within or over the rate of its team.
	admittedBy model.VMID
	refusal    model.Reply
	endSession bool
}

// admitOperation checks key, route and rate; a refusal has a fault.
func (c *caller) admitOperation(now time.Time) operation {
	route, team, fault := c.admit()
	op := operation{route: route, team: team, startedAt: now, version: c.version()}
	if fault != "" {
		op.refusal = model.Reply{Fault: fault}
		op.endSession = fault != model.FaultBusy
		return op
	}
	c.server.demand.note(now, route)
	limits, known := c.server.config.World.State().Policy.Teams[team]
	if !known {
		return op
	}
	verdict := c.server.config.Limiter.Admit(now, limits)
	op.admittedBy = verdict.By
	if !verdict.Admitted {
		reason := fmt.Sprintf("over the rate of the team rate=%.1f part=%.1f demand=%.1f others=%.1f",
			limits.Rate, verdict.Part, verdict.Demand, verdict.Fleet)
		op.refusal = c.server.refuse(model.FaultTooMany, reason, verdict.RetryAfter)
	}
	return op
}

func (s *Server) refuse(fault model.Fault, reason string, after time.Duration) model.Reply {
	return model.Reply{Fault: fault, Detail: s.config.RetryDetail(reason, after), RetryAfter: after}
}

// advise adds to the refusal of an instance, which says nothing of it, when to come back.
func (s *Server) advise(reply model.Reply) model.Reply {
	switch reply.Fault {
	case model.FaultBusy, model.FaultLagging, model.FaultReadOnly:
		if reply.RetryAfter == 0 {
			return s.refuse(reply.Fault, "refused by the instance "+reply.Detail, comeBack)
		}
	}
	return reply
}

// single runs one statement outside a transaction.
func (c *caller) single(command model.Command) (reply model.Reply, last bool) {
	now := clock.Now()
	statement, fault := c.statement(command)
	if fault != "" {
		return model.Reply{Fault: fault, Detail: command.Name}, false
	}
	op := c.admitOperation(now)
	if op.refusal.Fault != "" {
		c.report(op, command, "", op.refusal, 0)
		return op.refusal, op.endSession
	}
	if statement.write {
		return c.write(op, statement), false
	}
	return c.read(op, statement), false
}
