package remote

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/conns"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/status"
)

// minStatusTime is the minimum time for an answer to a status request. If less is left after the wait for a connection, no request is sent, since a missing
// answer would be no evidence against the instance.
const minStatusTime = 100 * time.Millisecond

// errLateStatus reports that too little time is left for a status request; nothing was sent.
var errLateStatus = errors.Mark(errors.Mark(errors.New("too little time is left for a status request"), conns.ErrBusy), model.ErrNotSent)

// shareStatus answers a status request of another VM from what this VM knows of the instance, or asks it. A failure is not recorded here: the requests of
// this VM itself may share it and record it, and each failure counts once.
func (s *session) shareStatus(now time.Time, instance model.Instance, r Request) Answer {
	deadline := now.Add(r.Limit)
	state, err := askShared(now, s.config.Statuses, s.config.Pool, deadline, conns.Request{
		Instance: instance, Team: r.Team, Class: r.Class, Deadline: clock.Earlier(now.Add(r.Wait), deadline), AnyTeam: true, StatusMaxAge: r.StatusMaxAge, New: r.New,
	})
	if err != nil {
		return notSent(err)
	}
	return Answer{State: state}
}

// askShared returns the state of an instance with its age at now. It asks the instance if no answer that is recent enough for the request is known or
// under way.
func askShared(now time.Time, statuses *status.Board, pool *conns.Pool, deadline time.Time, request conns.Request) (model.InstanceState, error) {
	answer := statuses.Ask(now, request.Instance, request.StatusMaxAge, deadline, func() status.Answer {
		return askInstance(pool, request, deadline)
	})
	if answer.Err != nil {
		return model.InstanceState{}, answer.Err
	}
	answer.State.Age = now.Sub(answer.At)
	return answer.State, nil
}

// askInstance asks an instance for its state on a connection of this VM. If the answer may be an earlier one of its connection, it asks again on one that has
// not been used, so that those who share the answer need only one such connection.
func askInstance(pool *conns.Pool, request conns.Request, deadline time.Time) status.Answer {
	answer := askOnce(pool, request, deadline)
	if request.New || !errors.Is(answer.Err, model.ErrUnmatched) || deadline.Sub(answer.EndedAt) < minStatusTime {
		return answer
	}
	request.New, request.Deadline = true, deadline
	return askOnce(pool, request, deadline)
}

func askOnce(pool *conns.Pool, request conns.Request, deadline time.Time) status.Answer {
	now := clock.Now()
	conn, err := pool.Get(now, request)
	sentAt := clock.Now()
	if err != nil {
		return status.Answer{At: now, EndedAt: sentAt, Err: err}
	}
	defer func() { pool.Put(clock.Now(), conn) }()
	if deadline.Sub(sentAt) < minStatusTime {
		return status.Answer{At: now, EndedAt: sentAt, Err: errLateStatus}
	}
	state, err := conn.Status(deadline)
	return status.Answer{State: state, At: sentAt, EndedAt: clock.Now(), Err: err}
}
