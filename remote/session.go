package remote

import (
	"time"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/conns"
	"github.com/crocusshore/crocusshore/memory"
	"github.com/crocusshore/crocusshore/model"
)

// session is the state of one stream.
type session struct {
	*Server
	stream *stream
	// held is the connection with the open transaction of the stream.
	held *conns.Conn
	// room is the memory that the present request and its answer take. arrival bounds the time for an incomplete request.
	room    *memory.Room
	arrival memory.Arrival
	// sequence is the number of the last request.
	sequence uint64
	// answerRoom is model.Query.Room of each request.
	answerRoom func(until time.Time, size int) error
}

// end closes the connection that the stream keeps, which rolls its open transaction back.
func (s *session) end() {
	s.room.Close()
	if s.held != nil {
		s.held.Break()
		s.config.Pool.Put(clock.Now(), s.held)
		s.busy.Add(-1)
	}
}

// step runs one request and keeps its connection while a transaction is open.
func (s *session) step(now time.Time, r Request) Answer {
	if s.held == nil {
		s.busy.Add(1)
	}
	defer func() {
		if s.held == nil {
			s.busy.Add(-1)
		}
	}()
	instance, refusal := s.admit(now, r)
	if refusal.Failure != "" {
		return refusal
	}
	if s.isEvacuated(now, instance, r) {
		return s.refuseEvacuated(now)
	}
	if r.Status && r.StatusMaxAge > 0 && s.held == nil {
		return s.shareStatus(now, instance, r)
	}
	conn, err := s.connection(now, instance, r)
	if err != nil {
		s.config.LocalVM.RecordFailure(instance.Name, err)
		return notSent(err)
	}
	if s.held == nil && s.isEvacuated(clock.Now(), instance, r) { // It may have begun during the wait for the connection.
		s.config.Pool.Put(clock.Now(), conn)
		return s.refuseEvacuated(clock.Now())
	}
	answer := s.runIfAwaited(now, conn, instance, r)
	answer.Ended = conn.Broken()
	if !conn.Broken() && s.staysOpen(answer) {
		s.held = conn
		return answer
	}
	s.held = nil
	if isHeavy(r) {
		conn.Break()
	}
	s.config.Pool.Put(clock.Now(), conn)
	return answer
}

// isHeavy reports whether a request leaves values or a prepared statement on its connection that are too large to stay there.
func isHeavy(r Request) bool {
	size := 0
	for name, value := range r.Values {
		size += len(name) + len(value) + memory.EntryBytes
	}
	return size > memory.HeavyBytes || (r.Prepared != nil && len(r.Prepared.Shape) > memory.HeavyBytes)
}

// admit returns the instance of a request that may be run, or the refusal of one that may not.
func (s *session) admit(now time.Time, r Request) (model.Instance, Answer) {
	instance, known := s.config.LocalVM.Instance(r.Instance)
	switch {
	case !r.Status && r.Query.Kind == "":
		return instance, Answer{Failure: FailureLeaving, Detail: "the kind of the statement is missing; the VM that asks runs an older program"}
	case s.held != nil && (s.held.Instance.Name != r.Instance || s.held.Team != r.Team):
		return instance, Answer{Failure: FailureUnknown, Detail: "the stream has an open transaction of another team or at another instance"}
	case s.held == nil && s.leaving.Load():
		return instance, Answer{Failure: FailureLeaving, Detail: "the VM with the connection stops"}
	case !known:
		return instance, Answer{Failure: FailureUnknown, Detail: "the instance is not known to the VM with the connection"}
	case s.held == nil && !r.Status && !s.config.LocalVM.TakeAttempt(now, instance.Name):
		return instance, Answer{Failure: FailureUnreachable, Detail: "the instance failed lately"}
	default:
		return instance, Answer{}
	}
}

// staysOpen reports whether a transaction is open after a step; a step that sent nothing leaves that as it was.
func (s *session) staysOpen(answer Answer) bool {
	if answer.Failure != "" {
		return s.held != nil
	}
	return answer.Reply.State == model.TxOpen || answer.Reply.State == model.TxFailed
}

// connection returns the connection of the open transaction, or one from the pool.
func (s *session) connection(now time.Time, instance model.Instance, r Request) (*conns.Conn, error) {
	if s.held != nil {
		return s.held, nil
	}
	return s.config.Pool.Get(now, conns.Request{
		Instance: instance, Team: r.Team, Values: r.Values, Class: r.Class, Deadline: now.Add(r.Wait), AnyTeam: r.Status,
		New: r.New,
	})
}
