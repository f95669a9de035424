package serve

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/conns"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/tree"
)

const (
	// purposeSample is a request for the log position of a primary, and purposeReplicas one for those of all replicas of a group.
	purposeSample   purpose = "Sample"
	purposeReplicas purpose = "Replicas"
	// purposeTermCheck is a request to a replica whether it is paused for a later term.
	purposeTermCheck purpose = "TermCheck"
	// purposeOpinion is a request to a primary on behalf of another VM, which asks whether this one reaches it.
	purposeOpinion purpose = "Opinion"
)

// purpose is the reason for which a VM requests the state of an instance; it is a tag of the metrics.
type purpose string

// pollStatus requests the state of an instance on a connection of any team. The state counts as of askedAt, at most maxAge before the request. If the answer
// may be an earlier one of its connection, pollStatus asks again on a new connection.
func (s *Server) pollStatus(why purpose, instance model.Instance, maxAge time.Duration) (state model.InstanceState, askedAt time.Time, err error) {
	s.config.Metrics.Tagged(map[string]string{"purpose": string(why)}).Counter("status_requests").Inc(1)
	state, askedAt, err = s.pollOnce(instance, maxAge, false)
	if errors.Is(err, model.ErrUnmatched) {
		state, askedAt, err = s.pollOnce(instance, maxAge, true)
	}
	s.config.Log.Debug("state requested", "purpose", why, "instance", instance.Name, "max-age", maxAge, "age", state.Age, "error", err)
	return state, askedAt, err
}

// pollOnce requests the state on one connection, which has not been used if unused is set.
func (s *Server) pollOnce(instance model.Instance, maxAge time.Duration, unused bool) (state model.InstanceState, askedAt time.Time, err error) {
	now := clock.Now()
	conn, err := s.config.Source.Get(now, conns.Request{
		Instance: instance, Team: model.ProxyTeam, Class: tree.ClassReservation, Deadline: now.Add(pollTimeout), AnyTeam: true, StatusMaxAge: maxAge, New: unused,
	})
	if err != nil {
		return state, now, err
	}
	defer func() { s.config.Source.Put(clock.Now(), conn) }()
	madeAt := clock.Now()
	state, err = conn.Status(madeAt.Add(pollTimeout))
	return state, state.AskedAt(madeAt), err
}

// recordState records that an instance reported its state, which counts as of askedAt. A shared answer does not outweigh what was observed after that.
func (s *Server) recordState(instance model.InstanceName, state model.InstanceState, askedAt time.Time) {
	now := clock.Now()
	if state.Age <= 0 {
		s.config.Tracker.RecordAlive(now, instance)
		return
	}
	health := s.config.Tracker.Health(now, instance)
	if askedAt.After(health.AnsweredAt) && askedAt.After(health.FailingSince) {
		s.config.Tracker.RecordAlive(askedAt, instance)
	}
}
