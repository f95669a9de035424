package stand

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/dbms"
	"github.com/crocusshore/crocusshore/model"
)

// Handler returns the HTTP interface of the instance with its faults.
func (i *Instance) Handler() (http.Handler, error) {
	server, err := dbms.NewServer(i)
	if err != nil {
		return nil, err
	}
	return i.Faults.Wrap(server), nil
}

// Open implements dbms.Handler.
func (i *Instance) Open(context.Context) (*dbms.Connection, error) {
	time.Sleep(i.config.ConnectTime)
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.sessions) >= i.config.Connections {
		return nil, &model.UpstreamError{Code: model.CodeTooManyConnections, Detail: "the connection limit is reached"}
	}
	i.nextID++
	id := strconv.Itoa(i.nextID)
	i.sessions[id] = &session{}
	return &dbms.Connection{Connection: id}, nil
}

// Close implements dbms.Handler.
func (i *Instance) Close(_ context.Context, params dbms.CloseParams) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.sessions, params.Connection)
	return nil
}

// Run implements dbms.Handler.
func (i *Instance) Run(ctx context.Context, request *dbms.Run, params dbms.RunParams) (*dbms.Result, error) {
	run := model.Run{
		Term:      model.Term(request.Term),
		Mode:      model.Mode(request.Mode),
		RequestID: model.RequestID(request.RequestId.Or("")),
	}
	for _, s := range request.Statements {
		run.Statements = append(run.Statements, model.Statement{Write: s.Write, Text: s.Text, Arguments: s.Arguments})
	}
	result, err := i.run(ctx, params.Connection, run)
	if err != nil {
		return nil, err
	}
	return &dbms.Result{
		Rows:     append([]string{}, result.Rows...),
		Term:     int64(result.Mark.Term),
		Position: int64(result.Mark.Position),
		AgeUs:    result.Age.Microseconds(),
		Repeated: result.Repeated,
	}, nil
}

// FindRequest implements dbms.Handler.
func (i *Instance) FindRequest(_ context.Context, params dbms.FindRequestParams) (*dbms.Recorded, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	recorded := &dbms.Recorded{Term: int64(i.term), Rows: []string{}}
	if i.fenced || !i.primary {
		return nil, &model.UpstreamError{Code: model.CodeNotPrimary, Detail: "only the primary knows every request"}
	}
	if position, known := i.requests[model.RequestID(params.RequestId)]; known {
		recorded.Found = true
		recorded.Position = int64(position)
		recorded.LogTerm = int64(i.log[position-1].term)
		recorded.Rows = append(recorded.Rows, i.log[position-1].rows...)
	}
	return recorded, nil
}

// Status implements dbms.Handler.
func (i *Instance) Status(ctx context.Context, params dbms.StatusParams) (*dbms.Status, error) {
	wait := time.Duration(params.WaitMs.Or(0)) * time.Millisecond
	return asStatus(i.awaitReceived(ctx, model.Position(params.AtLeast.Or(0)), wait)), nil
}

// Order implements dbms.Handler.
func (i *Instance) Order(_ context.Context, request *dbms.Order) (*dbms.Status, error) {
	order := model.Order{Kind: model.OrderKind(request.Kind), Term: model.Term(request.Term)}
	if text := request.Primary.Or(""); text != "" {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, err
		}
		order.Primary = address
	}
	status, err := i.order(time.Now(), order)
	if err != nil {
		return nil, err
	}
	return asStatus(status), nil
}

// NewError implements dbms.Handler.
func (i *Instance) NewError(_ context.Context, err error) *dbms.FailureStatusCode {
	failure := dbms.Failure{Code: dbms.FailureCodeBadStatement, Detail: err.Error()}
	var refused *model.UpstreamError
	if errors.As(err, &refused) {
		failure = dbms.Failure{
			Code:   dbms.FailureCode(refused.Code),
			Detail: refused.Detail,
			Term:   dbms.NewOptInt64(int64(refused.Term)),
		}
	}
	return &dbms.FailureStatusCode{StatusCode: http.StatusConflict, Response: failure}
}

func asStatus(status model.UpstreamStatus) *dbms.Status {
	return &dbms.Status{
		Term:        int64(status.Term),
		LogTerm:     int64(status.LogTerm),
		Held:        int64(status.Held),
		Applied:     int64(status.Applied),
		AgeUs:       status.Age.Microseconds(),
		Primary:     status.Primary,
		Fenced:      status.Fenced,
		TermStart:   int64(status.TermStart),
		Connections: status.Connections,
		Running:     status.Running,
	}
}
