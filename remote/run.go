package remote

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/conns"
	"github.com/crocusshore/crocusshore/memory"
	"github.com/crocusshore/crocusshore/model"
)

// notSent returns the answer to a request that failed with err before a statement was sent.
func notSent(err error) Answer {
	refused, ok := model.Refused(err)
	switch {
	case errors.Is(err, model.ErrUnmatched):
		return Answer{Failure: FailureUnasked, Detail: err.Error()}
	case errors.Is(err, conns.ErrBusy):
		return Answer{Failure: FailureBusy, Detail: err.Error(), RetryAfter: conns.RetryAfter(err)}
	case errors.Is(err, conns.ErrValuesRefused) && ok:
		return Answer{Failure: FailureValues, Fault: refused.Fault, Detail: refused.Detail}
	case ok:
		return Answer{Failure: FailureRefused, Fault: refused.Fault, Detail: refused.Detail}
	default:
		return Answer{Failure: FailureUnreachable, Detail: err.Error()}
	}
}

// noAnswer returns the answer to a request whose statement has no answer because of err.
func noAnswer(err error) Answer {
	switch {
	case errors.Is(err, model.ErrNotSent):
		return notSent(err)
	case errors.Is(err, model.ErrUnmatched):
		return Answer{Failure: FailureUnmatched, Detail: err.Error()}
	case errors.Is(err, memory.ErrNoRoom):
		return Answer{Failure: FailureNoRoom, Detail: err.Error()}
	default:
		return Answer{Failure: FailureNoAnswer, Detail: err.Error()}
	}
}

// runIfAwaited runs a request, unless the VM that sent it has gone: it sends nothing more before it has its answer, so that what can be read now is
// the end of the stream.
func (s *session) runIfAwaited(now time.Time, conn *conns.Conn, instance model.Instance, r Request) Answer {
	if !s.stream.idle() {
		return Answer{Failure: FailureBusy, Detail: "the VM that sent the request has gone"}
	}
	return s.run(now, conn, instance, r)
}

func (s *session) run(now time.Time, conn *conns.Conn, instance model.Instance, r Request) Answer {
	deadline := now.Add(r.Limit)
	if r.Status {
		state, err := conn.Status(deadline)
		if err != nil {
			return notSent(err)
		}
		return Answer{State: state}
	}
	if err := conn.Setup(deadline, r.Values, r.Prepared); err != nil {
		s.config.LocalVM.RecordFailure(instance.Name, err)
		return notSent(err)
	}
	sentAt := clock.Now()
	if r.Term > 0 {
		done, ok := s.config.LocalVM.BeginPrimaryUse(sentAt, instance, r.Term)
		if !ok {
			return Answer{Failure: FailureLease}
		}
		defer done()
	}
	if r.Query.Commits { // The outcome of a statement that may have a lasting effect is read in any case.
		r.Query.Room = nil
	}
	reply, err := execute(conn, deadline, r)
	if err != nil {
		s.config.LocalVM.RecordFailure(instance.Name, err)
		return noAnswer(err)
	}
	s.config.LocalVM.RecordAnswer(sentAt, instance, r, reply)
	return Answer{Reply: reply}
}

func execute(conn *conns.Conn, deadline time.Time, r Request) (model.Reply, error) {
	if r.Prepared != nil {
		return conn.Execute(deadline, *r.Prepared, r.Query, r.Arguments)
	}
	return conn.Run(deadline, r.Query)
}
