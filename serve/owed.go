package serve

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// giveUpTimeout bounds the wait for callers that do not read their answer when statements are given up.
const giveUpTimeout = 100 * time.Millisecond

// owedAnswer tells whether a session owes its caller an answer. Either the session or a process that ends gives it, never both.
type owedAnswer struct {
	owed atomic.Bool
	// command is the statement, and state that of its transaction when it was read.
	command model.Command
	state   model.TxState
	// given is closed once the process that ends has given the answer.
	given chan struct{}
}

// begin records that a statement was read in a transaction state.
func (o *owedAnswer) begin(command model.Command, state model.TxState) {
	o.command, o.state = command, state
	o.owed.Store(true)
}

// claim reports whether the session gives the answer. If not, claim returns once the answer is given, so that the session may close its connection.
func (o *owedAnswer) claim() bool {
	if o.takeOver() {
		o.command = model.Command{} // Its text may be large, and the session may be idle for long.
		return true
	}
	<-o.given
	return false
}

// takeOver reports whether an answer is owed; whoever gets true gives it.
func (o *owedAnswer) takeOver() bool { return o.owed.CompareAndSwap(true, false) }

// givenUpReply returns a truthful answer to a statement of which only the kind and the transaction state before it are known. The session ends
// after it, which rolls back a transaction whose commit was not sent.
func givenUpReply(kind model.CommandKind, state model.TxState) model.Reply {
	reply := model.Reply{Fault: model.FaultAborted, Detail: stoppingDetail, State: model.TxNone}
	switch {
	case kind == model.CommandRollback && state != model.TxNone:
		return model.Reply{State: model.TxNone}
	case kind == model.CommandCommit && state == model.TxOpen, state == model.TxNone && (kind == model.CommandWrite || kind == model.CommandExecute):
		reply.Fault = model.FaultUncertain
	case state == model.TxNone && kind == model.CommandRead:
		reply.Fault = model.FaultTimeout
	case state != model.TxNone && kind != model.CommandCommit:
		reply.State = model.TxFailed
	}
	return reply
}

// GiveUp answers the statements that are unanswered when the process ends, whatever they wait for, and ends their sessions.
func (s *Server) GiveUp() {
	var answers sync.WaitGroup
	for _, c := range s.unanswered() {
		answers.Go(func() {
			reply := givenUpReply(c.owed.command.Kind, c.owed.state)
			s.config.Log.Warn("statement given up", "id", c.owed.command.ID, "kind", c.owed.command.Kind, "database", c.hello.Database,
				"outcome", reply.Fault)
			if err := c.conn.Answer(reply); err != nil {
				s.config.Log.Debug("answer not delivered", "error", err)
			}
			close(c.owed.given)
			s.end(c)
		})
	}
	done := make(chan struct{})
	go func() {
		answers.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(giveUpTimeout):
	}
}

// unanswered returns the sessions that owe an answer, which the caller of unanswered gives from now on.
func (s *Server) unanswered() []*callerSession {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sessions []*callerSession
	for c := range s.sessions {
		if c.owed.takeOver() {
			sessions = append(sessions, c)
		}
	}
	return sessions
}
