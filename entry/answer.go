package entry

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/caller"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/report"
)

// statusOfReason maps the reason of a refusal to its HTTP status; every other reason gives 503.
var statusOfReason = map[model.Reason]int{
	model.ReasonBadRequest:    http.StatusBadRequest,
	model.ReasonBadToken:      http.StatusBadRequest,
	model.ReasonNoKey:         http.StatusUnauthorized,
	model.ReasonUnknownKey:    http.StatusUnauthorized,
	model.ReasonOtherTeam:     http.StatusForbidden,
	model.ReasonNoRoute:       http.StatusNotFound,
	model.ReasonNotRecorded:   http.StatusNotFound,
	model.ReasonNoTransaction: http.StatusConflict,
	model.ReasonStatement:     http.StatusUnprocessableEntity,
	model.ReasonOverRate:      http.StatusTooManyRequests,
	model.ReasonDeadline:      http.StatusGatewayTimeout,
}

// answer builds the answer to a caller; it includes the sealed session token unless the session is empty.
func (s *Server) answer(result reply) (*caller.AnswerHeaders, error) {
	role := caller.AnswerRolePrimary
	if result.replica {
		role = caller.AnswerRoleReplica
	}
	headers := &caller.AnswerHeaders{Response: caller.Answer{
		Outcome:   caller.OutcomeDone,
		RequestId: string(result.id),
		Rows:      append([]string{}, result.rows...),
		ServedBy:  string(result.servedBy),
		Role:      role,
		Term:      int64(result.mark.Term),
		Position:  int64(result.mark.Position),
	}}
	if result.repeated {
		headers.Response.Repeated = caller.NewOptBool(true)
	}
	if result.lostWrites {
		headers.Response.Lost = caller.NewOptBool(true)
	}
	if result.session.Marks != nil {
		sealed, err := s.sealer.SealSession(result.session)
		if err != nil {
			return nil, err
		}
		headers.SessionToken = caller.NewOptString(sealed)
	}
	return headers, nil
}

// problem converts an error to the problem document that a caller gets; c may be nil.
// An error that is not a refusal is logged and reported with an unknown outcome.
func (s *Server) problem(c *call, err error) error {
	var refusal *model.Refusal
	if !errors.As(err, &refusal) {
		s.log.Error("request failed", "error", err)
		refusal = model.Uncertain(model.ReasonConnection, "the request failed inside this VM")
	}
	document := problemOf(refusal)
	if c != nil {
		document.Response.RequestId = caller.NewOptString(string(c.id))
		s.log.Debug("request refused", "request", c.id, "outcome", refusal.Outcome, "reason", refusal.Reason)
	}
	return document
}

func problemOf(refusal *model.Refusal) *caller.ProblemStatusCodeWithHeaders {
	status, known := statusOfReason[refusal.Reason]
	if !known {
		status = http.StatusServiceUnavailable
	}
	document := &caller.ProblemStatusCodeWithHeaders{
		StatusCode: status,
		Response: caller.Problem{
			Outcome: caller.Outcome(refusal.Outcome),
			Reason:  string(refusal.Reason),
			Detail:  refusal.Detail,
		},
	}
	if refusal.RetryAfter > 0 {
		document.RetryAfter = caller.NewOptInt(int(math.Ceil(refusal.RetryAfter.Seconds())))
		document.Response.RetryAfterMs = caller.NewOptInt64(refusal.RetryAfter.Milliseconds())
	}
	return document
}

// NewError implements caller.Handler.
func (c callerServer) NewError(_ context.Context, err error) *caller.ProblemStatusCodeWithHeaders {
	var document *caller.ProblemStatusCodeWithHeaders
	if errors.As(err, &document) {
		return document
	}
	return problemOf(model.Uncertain(model.ReasonConnection, "the request failed inside this VM"))
}

// writeBadRequest answers a request that could not be decoded; it has had no effect.
func writeBadRequest(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	refusal := model.Refuse(model.ReasonBadRequest, "the request could not be read: %v", err)
	status := http.StatusBadRequest
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		refusal.Detail = "the body is larger than a request may be"
		status = http.StatusRequestEntityTooLarge
	}
	var document *caller.ProblemStatusCodeWithHeaders
	if errors.As(err, &document) {
		status = document.StatusCode
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	body := problemOf(refusal).Response
	_ = json.NewEncoder(w).Encode(&body)
}

// measure records the outcome and the latency of a request.
func (s *Server) measure(c *call, started time.Time, err error) {
	now := s.now()
	counted := report.Request{Team: c.who.team, Route: c.route.Name, Outcome: model.Done, Latency: now.Sub(started)}
	var refusal *model.Refusal
	if errors.As(err, &refusal) {
		counted.Outcome, counted.Reason = refusal.Outcome, refusal.Reason
	}
	if c.route.Name != "" {
		s.burnRecorder.Add(now, counted, c.route.Settings)
	}
	scope := s.metrics.Tagged(map[string]string{
		"route":   string(counted.Route),
		"team":    string(counted.Team),
		"outcome": string(counted.Outcome),
		"reason":  string(counted.Reason),
	})
	scope.Counter("requests").Inc(1)
	scope.Timer("latency").Record(counted.Latency)
}
