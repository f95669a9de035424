package owner

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/pool"
	"github.com/crocusshore/crocusshore/retry"
	"github.com/crocusshore/crocusshore/tree"
)

const (
	// overloadRetryAfter is the retry delay advised to a caller whose request got no slot.
	overloadRetryAfter = 200 * time.Millisecond
	// replicaPollInterval is the interval at which a lagging replica is polled.
	replicaPollInterval = 3 * time.Millisecond
)

// Dialer returns a client of an instance.
type Dialer func(instance tree.Instance) (model.Upstream, error)

// Config configures an Executor.
type Config struct {
	Dial Dialer
	Now  func() time.Time
	// NewID returns a random identifier for a transaction.
	NewID func() string
}

// Executor runs requests on the instances that this VM owns, with one scheduler per instance, and holds their interactive transactions.
type Executor struct {
	config Config

	mu           sync.Mutex
	schedulers   map[tree.Instance]*scheduler
	transactions map[string]*transaction
}

// New returns an Executor without instances; they are added on first use.
func New(config Config) *Executor {
	return &Executor{config: config, schedulers: map[tree.Instance]*scheduler{}, transactions: map[string]*transaction{}}
}

// HTTPDialer returns a Dialer that uses an HTTP transport.
func HTTPDialer(transport http.RoundTripper) Dialer {
	return func(instance tree.Instance) (model.Upstream, error) {
		return pool.NewInstanceClient(instance.Address, transport)
	}
}

// scheduler returns the scheduler of an instance. It creates one on first use, and a new one after any setting of the instance other than
// Leaving has changed.
func (e *Executor) scheduler(instance tree.Instance) (*scheduler, error) {
	key := instance
	key.Leaving = false
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.schedulers[key]; s != nil {
		return s, nil
	}
	upstream, err := e.config.Dial(instance)
	if err != nil {
		return nil, err
	}
	s := newScheduler(upstream, instance, e.config.Now)
	e.schedulers[key] = s
	e.closeReplaced(key)
	return s, nil
}

// closeReplaced removes the schedulers that the instance had under other settings and closes their pools. The caller holds e.mu.
func (e *Executor) closeReplaced(newest tree.Instance) {
	for key, s := range e.schedulers {
		if key.Address == newest.Address && key != newest {
			s.pool.Close()
			delete(e.schedulers, key)
		}
	}
}

// Upstream returns the client of an instance for status requests and orders.
func (e *Executor) Upstream(instance tree.Instance) (model.Upstream, error) {
	s, err := e.scheduler(instance)
	if err != nil {
		return nil, err
	}
	return s.upstream, nil
}

// Execute runs a request on an instance of a group. If that fails, the error is a *model.Refusal with what is known about the outcome.
func (e *Executor) Execute(ctx context.Context, group *tree.Group, r Request) (Response, error) {
	instance, ok := group.Instance(r.Instance)
	if !ok {
		return Response{}, model.Refuse(model.ReasonNoInstance, "the group %s has no instance %s", r.Group, r.Instance)
	}
	s, err := e.scheduler(instance)
	if err != nil {
		return Response{}, model.Refuse(model.ReasonNoInstance, "instance %s: %v", r.Instance, err)
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	switch r.Mode {
	case model.ModeBegin:
		return e.begin(ctx, s, r)
	case model.ModeContinue, model.ModeCommit, model.ModeRollback:
		return e.runInTransaction(ctx, s, group, r)
	case ModeFind:
		return e.findRequest(ctx, s, group, r)
	default:
		return e.runSingle(ctx, s, group, r)
	}
}

// runSingle runs a request outside an interactive transaction.
func (e *Executor) runSingle(ctx context.Context, s *scheduler, group *tree.Group, r Request) (Response, error) {
	if !r.hasLastingEffect() {
		if err := e.awaitApplied(ctx, s, r); err != nil {
			return Response{}, err
		}
	}
	if err := s.acquire(ctx, &r); err != nil {
		return Response{}, err
	}
	result, err := e.runPooled(ctx, s, r)
	if err != nil {
		return Response{}, err
	}
	s.observeApplied(result.Mark)
	if err := e.awaitReplicated(ctx, group, r, result); err != nil {
		return Response{}, err
	}
	return Response{Rows: result.Rows, Mark: result.Mark, Age: result.Age, Repeated: result.Repeated}, nil
}

// runPooled runs a request that has a slot on a pooled connection and then releases the slot.
func (e *Executor) runPooled(ctx context.Context, s *scheduler, r Request) (model.Result, error) {
	var latency time.Duration
	defer func() { s.release(e.config.Now(), latency) }()
	c, err := s.pool.Get(ctx)
	if err != nil {
		return model.Result{}, refusal(r, err)
	}
	started := e.config.Now()
	result, err := c.Run(ctx, model.Run{Term: r.Term, Mode: r.Mode, RequestID: r.RequestID, Statements: r.Statements})
	latency = e.config.Now().Sub(started)
	s.releaseConn(c, err)
	if err != nil {
		return model.Result{}, refusal(r, err)
	}
	return result, nil
}

// releaseConn returns a connection to the pool only if its answer was read in full; otherwise it drops the connection.
func (s *scheduler) releaseConn(c model.UpstreamConn, err error) {
	var refused *model.UpstreamError
	switch {
	case err == nil:
		s.pool.Put(c)
	case !errors.As(err, &refused):
		s.pool.Drop(c)
	case refused.Code == model.CodeNoConnection:
		// The instance has closed this connection, and with it all others of the old term.
		s.pool.Drop(c)
		s.pool.Flush()
	default:
		s.pool.Put(c)
	}
}

// awaitApplied waits until a replica has applied the log up to the position that the session has observed, for as long as the
// ReplicaWait of the route allows. A primary need not be waited for.
func (e *Executor) awaitApplied(ctx context.Context, s *scheduler, r Request) error {
	required := model.Mark{Term: r.Term, Position: r.MinPosition}
	until := e.config.Now().Add(r.Settings.ReplicaWait)
	for s.appliedMark().Before(required) {
		status, err := s.upstream.Status(ctx, 0, 0)
		if err != nil {
			return refusal(r, err)
		}
		if status.Primary {
			return nil
		}
		if status.Term == r.Term && !status.Fenced {
			s.observeApplied(model.Mark{Term: status.Term, Position: status.Applied})
		}
		if !s.appliedMark().Before(required) {
			return nil
		}
		if !e.config.Now().Before(until) {
			return model.Refuse(model.ReasonBehind, "the replica has not applied what the session saw")
		}
		if !retry.Sleep(ctx, replicaPollInterval) {
			return model.Refuse(model.ReasonDeadline, "the deadline passed while the replica caught up")
		}
	}
	return nil
}

// refusal converts an error of the upstream into the refusal that the caller receives. If the connection broke, the outcome of a
// write is unknown.
func refusal(r Request, err error) error {
	var refused *model.UpstreamError
	if !errors.As(err, &refused) {
		if r.hasLastingEffect() {
			return model.Uncertain(model.ReasonConnection, "the connection to the upstream broke while the request ran")
		}
		return model.Refuse(model.ReasonConnection, "the connection to the upstream broke; a read has no effect")
	}
	switch refused.Code {
	case model.CodeWrongTerm, model.CodeNotPrimary:
		return model.Refuse(model.ReasonReplaced, "the instance refused the term: %s", refused.Detail)
	case model.CodeBadStatement:
		return model.Refuse(model.ReasonStatement, "%s", refused.Detail)
	case model.CodeTooManyConnections:
		return model.Refuse(model.ReasonOverload, "%s", refused.Detail).WithRetryAfter(overloadRetryAfter)
	default:
		return model.Refuse(model.ReasonNoInstance, "%s", refused.Detail)
	}
}
