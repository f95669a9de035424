package serve

import (
	"context"
	"time"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
)

const (
	// finalReadTimeout is the timeout of the last read before a session is closed, for a statement that is already on its way.
	finalReadTimeout = 60 * time.Millisecond
	// finalPauseTimeout is how long a transaction may still pause between its statements once idle transactions have to end.
	finalPauseTimeout = 250 * time.Millisecond
	// stoppingDetail is the reason in a refusal by a process that stops.
	stoppingDetail = "the VM stops"
)

// DrainPlan holds the instants by which a server that stops ends its work; nil is the plan of a server that does not stop.
type DrainPlan struct {
	// TransactionsUntil is until when a transaction may be idle.
	TransactionsUntil time.Time
	// StatementsUntil is until when statements run; later ones are refused, and an unanswered one is given up.
	StatementsUntil time.Time
}

// transactionWait returns how long a transaction may be idle that may otherwise be so for idle, or without limit if idle is 0.
func (p *DrainPlan) transactionWait(now time.Time, idle time.Duration) time.Duration {
	if p == nil {
		return idle
	}
	left := max(p.TransactionsUntil.Sub(now), min(finalPauseTimeout, p.StatementsUntil.Sub(now)), finalReadTimeout)
	if idle == 0 {
		return left
	}
	return min(idle, left)
}

// mayRun reports whether a statement may still run now.
func (p *DrainPlan) mayRun(now time.Time) bool {
	return p == nil || now.Before(p.StatementsUntil)
}

// statementDeadline returns the deadline of a statement with a timeout, so that a server that stops answers before it ends.
func (p *DrainPlan) statementDeadline(now time.Time, timeout time.Duration) time.Time {
	deadline := now.Add(timeout)
	if p != nil && p.StatementsUntil.Before(deadline) {
		return p.StatementsUntil
	}
	return deadline
}

// Drain ends idle sessions at once and the others after their operation, as planned; it returns once idle transactions have to end.
func (s *Server) Drain(ctx context.Context, plan DrainPlan) {
	s.drain.Store(&plan)
	s.interrupt(false)
	timer := time.NewTimer(plan.TransactionsUntil.Sub(clock.Now()))
	defer timer.Stop()
	select {
	case <-timer.C:
		s.interrupt(true)
	case <-ctx.Done():
	}
}

// endsAfter reports whether the session ends after the answer to a statement because the process stops or sheds its sessions. Right after the
// answer to the last statement of an operation, the caller has usually sent nothing that the end of the session would cut off; if it has, the
// session goes on. A session whose caller only sets it up continues, or it would end before its first operation.
func (c *callerSession) endsAfter(now time.Time, kind model.CommandKind) bool {
	if c.session.State != model.TxNone || !c.server.endsIdleSessions() {
		return false
	}
	return kind.EndsOperation() || !c.server.drain.Load().mayRun(now)
}
