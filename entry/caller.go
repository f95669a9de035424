package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/crocusshore/crocusshore/caller"
	"github.com/crocusshore/crocusshore/model"
)

// maxBodyBytes bounds the body of a caller's request in bytes.
const maxBodyBytes = 1 << 20

// keyContext is the context key under which a caller's key is stored.
type keyContext struct{}

// callerServer implements the HTTP API for callers.
type callerServer struct{ server *Server }

var (
	_ caller.Handler         = callerServer{}
	_ caller.SecurityHandler = callerServer{}
)

func (s *Server) callerHandler() (http.Handler, error) {
	handler, err := caller.NewServer(callerServer{s}, callerServer{s}, caller.WithErrorHandler(writeBadRequest))
	if err != nil {
		return nil, err
	}
	return http.MaxBytesHandler(handler, maxBodyBytes), nil
}

// HandleCallerKey implements caller.SecurityHandler. It only stores the key; authorize checks it once the route is known.
func (c callerServer) HandleCallerKey(ctx context.Context, _ caller.OperationName, key caller.CallerKey) (context.Context, error) {
	return context.WithValue(ctx, keyContext{}, key.Token), nil
}

func keyOf(ctx context.Context) string {
	key, _ := ctx.Value(keyContext{}).(string)
	return key
}

// RunStatement implements caller.Handler.
func (c callerServer) RunStatement(ctx context.Context, request *caller.StatementRequest, params caller.RunStatementParams) (*caller.AnswerHeaders, error) {
	prepared := &call{
		id:         requestID(request.RequestId),
		statements: []model.Statement{statementOf(request.Statement)},
		repeatable: request.Repeatable.Value,
	}
	return c.server.serveCall(ctx, prepared, params.Route, params.SessionToken, request.DeadlineMs)
}

// RunTransaction implements caller.Handler.
func (c callerServer) RunTransaction(ctx context.Context, request *caller.TransactionRequest, params caller.RunTransactionParams) (*caller.AnswerHeaders, error) {
	prepared := &call{id: requestID(request.RequestId), repeatable: request.Repeatable.Value}
	for _, statement := range request.Statements {
		prepared.statements = append(prepared.statements, statementOf(statement))
	}
	return c.server.serveCall(ctx, prepared, params.Route, params.SessionToken, request.DeadlineMs)
}

// serveCall serves one request: it authorizes the caller, opens the session, applies the rate limits, runs the statements
// and builds the answer.
func (s *Server) serveCall(ctx context.Context, c *call, route string, session caller.OptString, deadline caller.OptInt64) (*caller.AnswerHeaders, error) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	started := s.now()
	result, err := s.run(ctx, c, model.RouteName(route), session, deadline)
	s.measure(c, started, err)
	if err != nil {
		return nil, s.problem(c, err)
	}
	return s.answer(result)
}

func (s *Server) run(ctx context.Context, c *call, route model.RouteName, session caller.OptString, deadline caller.OptInt64) (reply, error) {
	if err := s.prepare(ctx, c, route, session, deadline); err != nil {
		return reply{}, err
	}
	if model.AnyWrite(c.statements) {
		return s.write(ctx, c)
	}
	result, err := s.read(ctx, c)
	if err == nil {
		s.assertRead(c, result)
	}
	return result, err
}

// prepare checks the key, the route, the session token and the rate limits, before the request can have any effect.
func (s *Server) prepare(ctx context.Context, c *call, name model.RouteName, session caller.OptString, deadline caller.OptInt64) error {
	route, who, err := s.authorize(ctx, name, keyOf(ctx))
	if err != nil {
		return err
	}
	c.route, c.who = route, who
	c.deadline = s.now().Add(timeAllowed(route.Settings.Deadline, deadline))
	if c.session, err = s.sealer.OpenSession(session.Or("")); err != nil {
		return model.Refuse(model.ReasonBadToken, "the session token is malformed or forged; leave it out to begin a new session")
	}
	waitCtx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	return s.admit(waitCtx, route, who)
}

func timeAllowed(maximum time.Duration, requested caller.OptInt64) time.Duration {
	if !requested.Set {
		return maximum
	}
	return min(maximum, time.Duration(requested.Value)*time.Millisecond)
}

// BeginTransaction implements caller.Handler.
func (c callerServer) BeginTransaction(ctx context.Context, params caller.BeginTransactionParams) (*caller.Begun, error) {
	s := c.server
	prepared := &call{id: requestID(caller.OptString{})}
	if err := s.prepare(ctx, prepared, model.RouteName(params.Route), params.SessionToken, caller.OptInt64{}); err != nil {
		return nil, s.problem(prepared, err)
	}
	id, err := s.begin(ctx, prepared)
	if err != nil {
		return nil, s.problem(prepared, err)
	}
	return &caller.Begun{Transaction: id}, nil
}

// RunInTransaction implements caller.Handler.
func (c callerServer) RunInTransaction(ctx context.Context, request *caller.Statement, params caller.RunInTransactionParams) (*caller.AnswerHeaders, error) {
	s := c.server
	transaction, prepared, err := s.openTransaction(ctx, params.Transaction, keyOf(ctx))
	if err != nil {
		return nil, s.problem(nil, err)
	}
	prepared.id = requestID(caller.OptString{})
	prepared.statements = []model.Statement{statementOf(*request)}
	if err := s.admit(ctx, prepared.route, prepared.who); err != nil {
		return nil, s.problem(prepared, err)
	}
	response, err := s.runInTransaction(ctx, prepared, transaction, model.ModeContinue)
	if err != nil {
		return nil, s.problem(prepared, err)
	}
	return s.answer(reply{id: prepared.id, rows: response.Rows, servedBy: transaction.Instance, mark: response.Mark})
}

// CommitTransaction implements caller.Handler.
func (c callerServer) CommitTransaction(ctx context.Context, request *caller.CommitRequest, params caller.CommitTransactionParams) (*caller.AnswerHeaders, error) {
	s := c.server
	transaction, prepared, err := s.openTransaction(ctx, params.Transaction, keyOf(ctx))
	if err != nil {
		return nil, s.problem(nil, err)
	}
	prepared.id = requestID(request.RequestId)
	if prepared.session, err = s.sealer.OpenSession(params.SessionToken.Or("")); err != nil {
		return nil, s.problem(prepared, model.Refuse(model.ReasonBadToken, "the session token is malformed or forged"))
	}
	result, err := s.commit(ctx, prepared, transaction)
	if err != nil {
		return nil, s.problem(prepared, err)
	}
	return s.answer(result)
}

// RollbackTransaction implements caller.Handler.
func (c callerServer) RollbackTransaction(ctx context.Context, params caller.RollbackTransactionParams) error {
	s := c.server
	transaction, prepared, err := s.openTransaction(ctx, params.Transaction, keyOf(ctx))
	if err != nil {
		return s.problem(nil, err)
	}
	if _, err := s.runInTransaction(ctx, prepared, transaction, model.ModeRollback); err != nil {
		return s.problem(prepared, err)
	}
	return nil
}

// LookUpRequest implements caller.Handler.
func (c callerServer) LookUpRequest(ctx context.Context, params caller.LookUpRequestParams) (*caller.AnswerHeaders, error) {
	s := c.server
	prepared := &call{id: model.RequestID(params.RequestId)}
	route, who, err := s.authorize(ctx, model.RouteName(params.Route), keyOf(ctx))
	if err != nil {
		return nil, s.problem(prepared, err)
	}
	prepared.route, prepared.who, prepared.deadline = route, who, s.now().Add(route.Settings.Deadline)
	result, err := s.lookUp(ctx, prepared)
	if err != nil {
		return nil, s.problem(prepared, err)
	}
	return s.answer(result)
}

// Health implements caller.Handler.
func (c callerServer) Health(context.Context) error { return nil }

// Ready implements caller.Handler.
func (c callerServer) Ready(context.Context) error {
	s := c.server
	if s.leaving.Load() {
		return s.problem(nil, model.Refuse(model.ReasonLeaving, "this VM is stopping"))
	}
	if err := s.requireSettings(); err != nil {
		return s.problem(nil, err)
	}
	return nil
}

func requestID(given caller.OptString) model.RequestID {
	if id := given.Or(""); id != "" {
		return model.RequestID(id)
	}
	return model.RequestID(uuid.NewString())
}

func statementOf(s caller.Statement) model.Statement {
	return model.Statement{Write: s.Kind == caller.KindWrite, Text: s.Text, Arguments: s.Arguments}
}
