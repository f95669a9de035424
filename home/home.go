package home

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
	// overloadRetryAfter is the advice to a caller who found no slot.
	overloadRetryAfter = 200 * time.Millisecond
	// replicaPollInterval is how often a replica is asked whether it has caught up.
	replicaPollInterval = 3 * time.Millisecond
)

// Dialer returns the client of an instance.
type Dialer func(instance tree.Instance) (model.Upstream, error)

// Config describes a home.
type Config struct {
	Dial Dialer
	Now  func() time.Time
	// NewID returns a random identifier.
	NewID func() string
}

// Executor holds the workers of the instances that this VM serves.
type Executor struct {
	config Config

	mu           sync.Mutex
	schedulers   map[tree.Instance]*scheduler
	transactions map[string]*transaction
}

// New returns a home without instances.
func New(config Config) *Executor {
	return &Executor{config: config, schedulers: map[tree.Instance]*scheduler{}, transactions: map[string]*transaction{}}
}

// HTTPDialer returns a dialer over a transport.
func HTTPDialer(transport http.RoundTripper) Dialer {
	return func(instance tree.Instance) (model.Upstream, error) {
		return pool.NewInstanceClient(instance.Address, transport)
	}
}

// scheduler returns the worker of an instance; changed settings of an instance bring a new one.
func (h *Executor) scheduler(instance tree.Instance) (*scheduler, error) {
	key := instance
	key.Leaving = false
	h.mu.Lock()
	defer h.mu.Unlock()
	if w := h.schedulers[key]; w != nil {
		return w, nil
	}
	upstream, err := h.config.Dial(instance)
	if err != nil {
		return nil, err
	}
	w := newWorker(upstream, instance)
	h.schedulers[key] = w
	h.closeReplaced(key)
	return w, nil
}

// closeReplaced closes the workers that an instance had under other settings.
func (h *Executor) closeReplaced(newest tree.Instance) {
	for key, w := range h.schedulers {
		if key.Address == newest.Address && key != newest {
			w.pool.Close()
			delete(h.schedulers, key)
		}
	}
}

// Upstream returns the client of an instance for status questions and orders.
func (h *Executor) Upstream(instance tree.Instance) (model.Upstream, error) {
	w, err := h.scheduler(instance)
	if err != nil {
		return nil, err
	}
	return w.upstream, nil
}

// Execute runs a request on an instance of a group; a *model.Refusal says what is known otherwise.
func (h *Executor) Execute(ctx context.Context, group *tree.Group, r Request) (Response, error) {
	instance, ok := group.Instance(r.Instance)
	if !ok {
		return Response{}, model.Refuse(model.ReasonNoInstance, "the group %s has no instance %s", r.Group, r.Instance)
	}
	w, err := h.scheduler(instance)
	if err != nil {
		return Response{}, model.Refuse(model.ReasonNoInstance, "instance %s: %v", r.Instance, err)
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	switch r.Mode {
	case model.ModeBegin:
		return h.begin(ctx, w, r)
	case model.ModeContinue, model.ModeCommit, model.ModeRollback:
		return h.inTransaction(ctx, w, group, r)
	case ModeFind:
		return h.findRequest(ctx, w, group, r)
	default:
		return h.single(ctx, w, group, r)
	}
}

func (h *Executor) single(ctx context.Context, w *scheduler, group *tree.Group, r Request) (Response, error) {
	if !r.writes() {
		if err := h.awaitApplied(ctx, w, r); err != nil {
			return Response{}, err
		}
	}
	if err := w.acquire(ctx, h.config.Now(), &r); err != nil {
		return Response{}, err
	}
	result, err := h.runPooled(ctx, w, r)
	if err != nil {
		return Response{}, err
	}
	w.observeApplied(result.Mark)
	if err := h.awaitReplicated(ctx, group, r, result); err != nil {
		return Response{}, err
	}
	return Response{Rows: result.Rows, Mark: result.Mark, Age: result.Age, Repeated: result.Repeated}, nil
}

// runPooled runs the request on a pooled connection and gives the slot back.
func (h *Executor) runPooled(ctx context.Context, w *scheduler, r Request) (model.Result, error) {
	var latency time.Duration
	defer func() { w.release(h.config.Now(), latency) }()
	c, err := w.pool.Get(ctx)
	if err != nil {
		return model.Result{}, refusal(r, err)
	}
	started := h.config.Now()
	result, err := c.Run(ctx, model.Run{Term: r.Term, Mode: r.Mode, RequestID: r.RequestID, Statements: r.Statements})
	latency = h.config.Now().Sub(started)
	w.releaseConn(c, err)
	if err != nil {
		return model.Result{}, refusal(r, err)
	}
	return result, nil
}

// releaseConn reuses a connection only where its answer was read whole.
func (w *scheduler) releaseConn(c model.UpstreamConn, err error) {
	var refused *model.UpstreamError
	switch {
	case err == nil:
		w.pool.Put(c)
	case !errors.As(err, &refused):
		w.pool.Drop(c)
	case refused.Code == model.CodeNoConnection:
		// The instance has closed this connection, and with it all others of the old term.
		w.pool.Drop(c)
		w.pool.Flush()
	default:
		w.pool.Put(c)
	}
}

// awaitApplied waits for a replica to apply what the session saw, as long as the route allows.
func (h *Executor) awaitApplied(ctx context.Context, w *scheduler, r Request) error {
	least := model.Mark{Term: r.Term, Position: r.MinPosition}
	until := h.config.Now().Add(r.Settings.ReplicaWait)
	for w.appliedMark().Before(least) {
		status, err := w.upstream.Status(ctx, 0, 0)
		if err != nil {
			return refusal(r, err)
		}
		if status.Primary {
			return nil
		}
		if status.Term == r.Term && !status.Fenced {
			w.observeApplied(model.Mark{Term: status.Term, Position: status.Applied})
		}
		if !w.appliedMark().Before(least) {
			return nil
		}
		if !h.config.Now().Before(until) {
			return model.Refuse(model.ReasonBehind, "the replica has not applied what the session saw")
		}
		if !retry.Sleep(ctx, replicaPollInterval) {
			return model.Refuse(model.ReasonDeadline, "the deadline passed while the replica caught up")
		}
	}
	return nil
}

// refusal turns an error of the upstream into what a caller may be told.
func refusal(r Request, err error) error {
	var refused *model.UpstreamError
	if !errors.As(err, &refused) {
		if r.writes() {
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
