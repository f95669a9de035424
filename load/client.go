package load

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/caller"
	"github.com/crocusshore/crocusshore/model"
)

type keyContext struct{}

// Client calls the caller interface of entries on behalf of any team; it is safe for concurrent use.
type Client struct {
	http *http.Client

	mu   sync.Mutex
	apis map[netip.AddrPort]*caller.Client
}

// NewClient returns a client that sends its requests through a transport.
func NewClient(transport http.RoundTripper) *Client {
	return &Client{http: &http.Client{Transport: transport}, apis: map[netip.AddrPort]*caller.Client{}}
}

// CallerKey implements caller.SecuritySource.
func (c *Client) CallerKey(ctx context.Context, _ caller.OperationName) (caller.CallerKey, error) {
	key, _ := ctx.Value(keyContext{}).(string)
	return caller.CallerKey{Token: key}, nil
}

// WithKey returns a context whose requests are authenticated with a caller's key.
func WithKey(ctx context.Context, key string) context.Context {
	return context.WithValue(ctx, keyContext{}, key)
}

// API returns the generated client for the caller address of an entry.
func (c *Client) API(address netip.AddrPort) (*caller.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if api := c.apis[address]; api != nil {
		return api, nil
	}
	api, err := caller.NewClient("http://"+address.String(), c, caller.WithClient(c.http))
	if err != nil {
		return nil, err
	}
	c.apis[address] = api
	return api, nil
}

// Request is one statement of a session.
type Request struct {
	ID        model.RequestID
	Route     model.RouteName
	Statement model.Statement
	Deadline  time.Duration
}

// Answer is the answer of an entry to a Request. Refusal is nil if the outcome is Done.
type Answer struct {
	Rows     []string
	Replica  bool
	ServedBy string
	Mark     model.Mark
	Token    string
	// LostWrites is set if a failover lost a write that the session had observed.
	LostWrites bool
	// Repeated is set if the answer is that of an earlier request with the same ID.
	Repeated bool
	Refusal  *model.Refusal
}

// Do sends one statement through an entry. If the answer is lost on the way, the outcome is Unknown.
func (c *Client) Do(ctx context.Context, entry netip.AddrPort, key, token string, r Request) Answer {
	api, err := c.API(entry)
	if err != nil {
		return Answer{Refusal: model.Refuse(model.ReasonBadRequest, "%v", err)}
	}
	answer, err := api.RunStatement(WithKey(ctx, key), newStatementRequest(r), newStatementParams(r.Route, token))
	if err != nil {
		return Answer{Refusal: RefusalOf(err)}
	}
	return newAnswer(answer)
}

func newStatementRequest(r Request) *caller.StatementRequest {
	kind := caller.KindRead
	if r.Statement.Write {
		kind = caller.KindWrite
	}
	request := &caller.StatementRequest{
		Statement: caller.Statement{Kind: kind, Text: r.Statement.Text, Arguments: r.Statement.Arguments},
	}
	if r.ID != "" {
		request.RequestId = caller.NewOptString(string(r.ID))
	}
	if r.Deadline > 0 {
		request.DeadlineMs = caller.NewOptInt64(r.Deadline.Milliseconds())
	}
	return request
}

func newStatementParams(route model.RouteName, token string) caller.RunStatementParams {
	p := caller.RunStatementParams{Route: string(route)}
	if token != "" {
		p.SessionToken = caller.NewOptString(token)
	}
	return p
}

func newAnswer(answer *caller.AnswerHeaders) Answer {
	r := answer.Response
	return Answer{
		Rows:       r.Rows,
		Replica:    r.Role == caller.AnswerRoleReplica,
		ServedBy:   r.ServedBy,
		Mark:       model.Mark{Term: model.Term(r.Term), Position: model.Position(r.Position)},
		Token:      answer.SessionToken.Or(""),
		LostWrites: r.Lost.Value,
		Repeated:   r.Repeated.Value,
	}
}

// RefusalOf returns the refusal in an error of the generated client. Any other error, such as a broken connection, is returned as a
// refusal with the outcome Unknown.
func RefusalOf(err error) *model.Refusal {
	var problem *caller.ProblemStatusCodeWithHeaders
	if !errors.As(err, &problem) {
		return model.Uncertain(model.ReasonConnection, "%v", err)
	}
	return &model.Refusal{
		Outcome:    model.Outcome(problem.Response.Outcome),
		Reason:     model.Reason(problem.Response.Reason),
		Detail:     problem.Response.Detail,
		RetryAfter: time.Duration(problem.Response.RetryAfterMs.Or(0)) * time.Millisecond,
	}
}
