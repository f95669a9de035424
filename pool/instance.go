package pool

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/dbms"
	"github.com/crocusshore/crocusshore/model"
)

var _ model.Upstream = (*InstanceClient)(nil)

// InstanceClient is a client of one database instance.
type InstanceClient struct {
	api *dbms.Client
}

// NewInstanceClient returns a client of the instance at an address.
func NewInstanceClient(address netip.AddrPort, transport http.RoundTripper) (*InstanceClient, error) {
	api, err := dbms.NewClient("http://"+address.String(), dbms.WithClient(&http.Client{Transport: transport}))
	return &InstanceClient{api: api}, err
}

// Open implements model.Upstream.
func (c *InstanceClient) Open(ctx context.Context) (model.UpstreamConn, error) {
	connection, err := c.api.Open(ctx)
	if err != nil {
		return nil, upstreamError(err)
	}
	return &conn{api: c.api, id: connection.Connection}, nil
}

// Find implements model.Upstream.
func (c *InstanceClient) Find(ctx context.Context, id model.RequestID) (model.Recorded, error) {
	recorded, err := c.api.FindRequest(ctx, dbms.FindRequestParams{RequestId: string(id)})
	if err != nil {
		return model.Recorded{}, upstreamError(err)
	}
	return model.Recorded{
		Found: recorded.Found,
		Term:  model.Term(recorded.Term),
		Mark:  model.Mark{Term: model.Term(recorded.LogTerm), Position: model.Position(recorded.Position)},
		Rows:  recorded.Rows,
	}, nil
}

// Status implements model.Upstream.
func (c *InstanceClient) Status(ctx context.Context, atLeast model.Position, wait time.Duration) (model.UpstreamStatus, error) {
	status, err := c.api.Status(ctx, dbms.StatusParams{
		AtLeast: dbms.NewOptInt64(int64(atLeast)),
		WaitMs:  dbms.NewOptInt64(wait.Milliseconds()),
	})
	if err != nil {
		return model.UpstreamStatus{}, upstreamError(err)
	}
	return asStatus(status), nil
}

// Order implements model.Upstream.
func (c *InstanceClient) Order(ctx context.Context, order model.Order) (model.UpstreamStatus, error) {
	request := &dbms.Order{Kind: dbms.OrderKind(order.Kind), Term: int64(order.Term)}
	if order.Primary.IsValid() {
		request.Primary = dbms.NewOptString(order.Primary.String())
	}
	status, err := c.api.Order(ctx, request)
	if err != nil {
		return model.UpstreamStatus{}, upstreamError(err)
	}
	return asStatus(status), nil
}

func asStatus(status *dbms.Status) model.UpstreamStatus {
	return model.UpstreamStatus{
		Term:        model.Term(status.Term),
		LogTerm:     model.Term(status.LogTerm),
		Held:        model.Position(status.Held),
		Applied:     model.Position(status.Applied),
		Age:         time.Duration(status.AgeUs) * time.Microsecond,
		Primary:     status.Primary,
		Fenced:      status.Fenced,
		TermStart:   model.Position(status.TermStart),
		Connections: status.Connections,
		Running:     status.Running,
	}
}

// upstreamError returns a *model.UpstreamError only if it is certain that the instance ran nothing.
func upstreamError(err error) error {
	var refused *dbms.FailureStatusCode
	if errors.As(err, &refused) {
		failure := refused.Response
		return &model.UpstreamError{
			Code:   model.UpstreamCode(failure.Code),
			Detail: failure.Detail,
			Term:   model.Term(failure.Term.Or(0)),
		}
	}
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return &model.UpstreamError{Code: model.CodeUnavailable, Detail: "the connection was refused: " + network.Err.Error()}
	}
	return errors.Wrap(err, "the connection broke")
}
