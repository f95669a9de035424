package serve

import (
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/memory"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
	"github.com/crocusshore/crocusshore/sess"
)

// helloTimeout bounds the wait for the first message of a session.
const helloTimeout = 2 * time.Second

// callerSession is the server side of one caller's session.
type callerSession struct {
	server  *Server
	conn    model.CallerConn
	hello   model.Hello
	session *sess.Session
	tx      *transaction
	// lastConn is the connection taken for the last statement.
	lastConn model.PooledConn
	// lastErr is the error of the last attempt that no instance answered, or of a message that could not be read; the next line of the log tells it.
	lastErr error
	// reported is set if the current statement has its line in the log.
	reported bool

	inTransaction atomic.Bool
	// boundTo is the instance on which the session has an open transaction, or nil.
	boundTo atomic.Pointer[model.Instance]
	owed    owedAnswer

	// account is what the session takes of the memory of the process, and visit its place among the connections; both may be nil.
	account *memory.Account
	visit   *memory.Visit
	// notKept is set while the present message is one that was discarded for lack of memory.
	notKept bool
	// heavy is set once the present connection holds a prepared statement that is too large to stay there.
	heavy bool
	// answerRoom is model.Query.Room of each statement.
	answerRoom func(until time.Time, size int) error
}

func newCallerSession(server *Server, conn model.CallerConn) *callerSession {
	return &callerSession{server: server, conn: conn, session: sess.New(), owed: owedAnswer{given: make(chan struct{})}}
}

// limit sets the limits of the session; either may be nil.
func (c *callerSession) limit(account *memory.Account, visit *memory.Visit) {
	c.account, c.visit = account, visit
	if room := account.Answer(); room != nil {
		c.answerRoom = func(until time.Time, size int) error { return room.Grow(time.Now(), until, size) }
	}
}

func (c *callerSession) run() {
	hello, err := c.conn.Hello(time.Now().Add(helloTimeout))
	if err != nil {
		c.notOpened(err)
		return
	}
	c.hello = hello
	_, team, fault := c.admit()
	if fault != "" {
		reply := c.server.rejection(clock.Now(), fault)
		c.server.logRefused("session rejected", "database", hello.Database, "fault", fault, "detail", reply.Detail, "policy", c.policyVersion())
		c.reject(reply)
		return
	}
	if !c.visit.Admit(team) {
		c.reject(c.server.refuse(model.FaultBusy, "the team has too many sessions here", connectionRetryAfter))
		return
	}
	c.account.SetTeam(team)
	if err := c.conn.Accept(); err != nil {
		return
	}
	c.loop()
	c.conn.Close() // Nobody reads what the caller sends while its transaction is rolled back.
	c.endTransaction()
}

// notOpened answers a first message that opens no session.
func (c *callerSession) notOpened(err error) {
	if !errors.Is(err, model.ErrBadMessage) {
		c.server.config.Log.Debug("session not opened", "error", err)
		return
	}
	// The message is left out: it may hold the key of the caller.
	c.server.logRefused("session not opened", "error", errors.Redact(err))
	c.reject(model.Reply{Fault: model.FaultBadMessage})
}

// reject sends the fault with which the session ends before it began.
func (c *callerSession) reject(reply model.Reply) {
	if err := c.conn.Reject(reply.Fault, reply.Detail); err != nil {
		c.server.config.Log.Debug("rejection not delivered", "error", err)
	}
}

// admit checks database and key against the settings in effect.
func (c *callerSession) admit() (policy.Route, model.TeamName, model.Fault) {
	p := c.server.config.Cache.Snapshot().Policy
	if p == nil {
		return policy.Route{}, "", model.FaultBusy
	}
	return p.Admit(c.hello)
}

// rejection returns the reply to a caller whom the settings do not admit. A VM without settings tells when it expects them.
func (s *Server) rejection(now time.Time, fault model.Fault) model.Reply {
	if fault != model.FaultBusy {
		return model.Reply{Fault: fault}
	}
	expected := s.outages.Missing(now, supply{}, stageNone).Expected
	return s.refuse(fault, "this VM has no settings yet", expected.Sub(now))
}

func (c *callerSession) policyVersion() int64 {
	if p := c.server.config.Cache.Snapshot().Policy; p != nil {
		return p.Version
	}
	return 0
}

func (c *callerSession) loop() {
	for {
		command, err := c.nextCommand()
		if err != nil || command.Kind == model.CommandQuit {
			return
		}
		c.owed.begin(command, c.session.State)
		c.reported = false
		reply, last := c.handle(command)
		c.reportRefused(command, reply)
		if !c.owed.claim() {
			return
		}
		reply.State = c.session.State
		c.inTransaction.Store(c.session.State != model.TxNone)
		err = c.conn.Answer(reply)
		c.account.EndStatement()
		if err != nil || last {
			return
		}
		if c.endsAfter(clock.Now(), command.Kind) && !c.conn.Arrived() {
			return
		}
	}
}

// nextCommand waits for the next statement. After an interruption the session waits again: it may end now, and does so only after a last
// short wait for a statement that is already on its way.
func (c *callerSession) nextCommand() (model.Command, error) {
	for {
		c.abortIfEvacuated(clock.Now())
		command, err := c.conn.Next(c.readDeadline())
		switch {
		case errors.Is(err, model.ErrBadMessage):
			c.lastErr = err
			return model.Command{Kind: model.CommandInvalid}, nil
		case errors.Is(err, memory.ErrNoRoom):
			c.notKept = true
			return model.Command{Kind: model.CommandInvalid}, nil
		case !errors.Is(err, model.ErrInterrupted):
			return command, err
		}
	}
}

// readDeadline returns until when the session waits for the next statement, or zero for no limit.
func (c *callerSession) readDeadline() time.Time {
	now := clock.Now()
	wait := time.Duration(0)
	if p := c.server.config.Cache.Snapshot().Policy; p != nil && c.session.State != model.TxNone {
		wait = p.TxIdleTimeout
	}
	if c.session.State != model.TxNone {
		wait = c.server.drain.Load().transactionWait(now, wait)
	} else if c.server.endsIdleSessions() {
		wait = finalReadTimeout
	}
	if wait == 0 {
		return time.Time{}
	}
	return clock.Wall(now.Add(wait))
}

// endTransaction ends the transaction that the session leaves open.
func (c *callerSession) endTransaction() {
	if c.tx != nil {
		c.tx.rollbackAndRelease(c)
		c.tx = nil
	}
}

// handle runs one statement; last reports whether the session ends after the reply.
func (c *callerSession) handle(command model.Command) (reply model.Reply, last bool) {
	switch command.Kind {
	case model.CommandSet, model.CommandPrepare, model.CommandDeallocate:
		return c.setSessionState(command), false
	case model.CommandBegin:
		return c.begin(command)
	case model.CommandRollback:
		return c.rollback(command), false
	case model.CommandCommit:
		return c.commit(command), false
	case model.CommandRead, model.CommandWrite, model.CommandExecute:
		if c.session.State == model.TxNone {
			return c.runSingle(command)
		}
		return c.runInTransaction(command), false
	default:
		return c.handleInvalid(), false
	}
}

func badMessage(detail string) model.Reply {
	return model.Reply{Fault: model.FaultBadMessage, Detail: detail}
}

// runSingle runs one statement outside a transaction.
func (c *callerSession) runSingle(command model.Command) (reply model.Reply, last bool) {
	now := clock.Now()
	statement, fault := c.resolveStatement(command)
	if fault != "" {
		return model.Reply{Fault: fault, Detail: command.Name}, false
	}
	op := c.admitOperation(now, statement.write)
	if op.refusal.Fault != "" {
		c.report(op, command, "", op.refusal, 0)
		return op.refusal, op.endSession
	}
	if statement.write {
		return c.write(op, statement), false
	}
	return c.read(op, statement), false
}
