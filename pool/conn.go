package pool

import (
	"context"
	"time"

	"github.com/crocusshore/crocusshore/dbms"
	"github.com/crocusshore/crocusshore/model"
)

// conn is an open connection to an instance, which the instance identifies by id.
type conn struct {
	api *dbms.Client
	id  string
}

// Run implements model.UpstreamConn.
func (c *conn) Run(ctx context.Context, run model.Run) (model.Result, error) {
	request := &dbms.Run{Term: int64(run.Term), Mode: dbms.RunMode(run.Mode), Statements: []dbms.Statement{}}
	if run.RequestID != "" {
		request.RequestId = dbms.NewOptString(string(run.RequestID))
	}
	for _, s := range run.Statements {
		request.Statements = append(request.Statements, dbms.Statement{Write: s.Write, Text: s.Text, Arguments: s.Arguments})
	}
	result, err := c.api.Run(ctx, request, dbms.RunParams{Connection: c.id})
	if err != nil {
		return model.Result{}, upstreamError(err)
	}
	return model.Result{
		Rows:     result.Rows,
		Mark:     model.Mark{Term: model.Term(result.Term), Position: model.Position(result.Position)},
		Age:      time.Duration(result.AgeUs) * time.Microsecond,
		Repeated: result.Repeated,
	}, nil
}

// Close implements model.UpstreamConn.
func (c *conn) Close(ctx context.Context) error {
	return c.api.Close(ctx, dbms.CloseParams{Connection: c.id})
}
