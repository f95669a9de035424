package serve

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/remote"
	"github.com/crocusshore/crocusshore/state"
)

// Instance returns an instance from the cached state of this VM.
func (s *Server) Instance(name model.InstanceName) (model.Instance, bool) {
	instance, known := s.config.Cache.Snapshot().Instances[name]
	return instance, known
}

// TakeAttempt reports whether a statement of another VM may be attempted on an instance now; if so, it counts as attempted.
func (s *Server) TakeAttempt(now time.Time, instance model.InstanceName) bool {
	return s.config.Tracker.TakeAttempt(now, instance)
}

// BeginPrimaryUse reports whether this VM may use an instance as the primary of a term for a statement of another VM. If so, the statement
// counts as in flight, and a replacement of the primary waits for it, until done is called.
func (s *Server) BeginPrimaryUse(now time.Time, instance model.Instance, term model.Term) (done func(), ok bool) {
	group := instance.Group
	s.inflight.add(group, 1)
	if !s.mayContinue(now, instance) || !s.config.Cache.LeaseValid(now, state.Lease{Group: group, Term: term, Primary: instance}) {
		s.inflight.add(group, -1)
		return nil, false
	}
	return func() { s.inflight.add(group, -1) }, true
}

// RecordAnswer records the answer of an instance to a statement of another VM.
func (s *Server) RecordAnswer(sentAt time.Time, instance model.Instance, r remote.Request, reply model.Reply) {
	s.trackAnswer(sentAt, instance.Name, latencyInfo{route: r.Route, measured: r.Query.Work, direct: true}, reply)
	if r.Term > 0 {
		s.addSample(sentAt, instance, r.Term, reply)
		return
	}
	s.recordReplicaMark(sentAt, target{instance: instance, since: r.Query.Since}, reply)
}

// RecordFailure records that an instance could not be reached or did not answer a statement of another VM; see trackFailure.
func (s *Server) RecordFailure(instance model.InstanceName, err error) { s.trackFailure(instance, err) }
