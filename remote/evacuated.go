package remote

import (
	"time"

	"github.com/crocusshore/crocusshore/evac"
	"github.com/crocusshore/crocusshore/model"
)

// isEvacuated reports whether the statement of a request may not be sent because the failure domain of its instance is evacuated. The VM that sent the
// request may not know of the evacuation yet. Status requests are still sent, since they are no statements of callers.
func (s *session) isEvacuated(now time.Time, instance model.Instance, r Request) bool {
	return !r.Status && !s.config.LocalVM.MayRun(now, instance, s.held != nil)
}

// refuseEvacuated refuses a request for an evacuated instance, with nothing sent. An open transaction is rolled back by the end of its connection. The
// failure is one that older programs understand as well.
func (s *session) refuseEvacuated(now time.Time) Answer {
	answer := Answer{Failure: FailureBusy, Detail: evac.RefusalDetail}
	if s.held != nil {
		s.held.Break()
		s.config.Pool.Put(now, s.held)
		s.held, answer.Ended = nil, true
	}
	return answer
}
