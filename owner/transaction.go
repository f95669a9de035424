package owner

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/retry"
	"github.com/crocusshore/crocusshore/tree"
)

// sweepInterval is the interval at which Sweep checks the open transactions.
const sweepInterval = 100 * time.Millisecond

// transaction is an interactive transaction, which has a connection of its own.
type transaction struct {
	scheduler *scheduler
	conn      model.UpstreamConn
	team      model.TeamName
	key       model.KeyID
	term      model.Term
	// idleTimeout is the idle time after which the transaction is rolled back.
	idleTimeout time.Duration

	// mu is held while a statement runs, so that statements run one at a time.
	mu       sync.Mutex
	lastUsed time.Time
	ended    bool
}

// begin opens an interactive transaction on a connection of its own.
func (e *Executor) begin(ctx context.Context, s *scheduler, r Request) (Response, error) {
	c, err := s.pool.Get(ctx)
	if err != nil {
		return Response{}, refusal(r, err)
	}
	result, err := c.Run(ctx, model.Run{Term: r.Term, Mode: model.ModeBegin})
	if err != nil {
		s.pool.Drop(c)
		return Response{}, refusal(r, err)
	}
	t := &transaction{scheduler: s, conn: c, team: r.Team, key: r.Key, term: r.Term, idleTimeout: r.Settings.TransactionIdle, lastUsed: e.config.Now()}
	id := e.config.NewID()
	e.mu.Lock()
	e.transactions[id] = t
	e.mu.Unlock()
	return Response{Transaction: id, Mark: result.Mark}, nil
}

// runInTransaction runs statements in an open transaction, commits it, or rolls it back. If the instance rejects a statement, the
// transaction stays open; any other error of running the request on the connection ends it.
func (e *Executor) runInTransaction(ctx context.Context, s *scheduler, group *tree.Group, r Request) (Response, error) {
	t, err := e.lookupTransaction(r)
	if err != nil {
		return Response{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return Response{}, errNoTransaction()
	}
	t.lastUsed = e.config.Now()
	if r.Mode == model.ModeRollback {
		e.endTransaction(r.Transaction, t, false)
		return Response{}, nil
	}
	if err := s.acquire(ctx, &r); err != nil {
		return Response{}, err
	}
	result, err := t.run(ctx, e.config.Now, r)
	if err != nil {
		var refused *model.UpstreamError
		if !errors.As(err, &refused) || refused.Code != model.CodeBadStatement {
			e.endTransaction(r.Transaction, t, false)
		}
		return Response{}, refusal(r, err)
	}
	if r.Mode == model.ModeCommit {
		e.endTransaction(r.Transaction, t, true)
	}
	if err := e.awaitReplicated(ctx, group, r, result); err != nil {
		return Response{}, err
	}
	return Response{Rows: result.Rows, Mark: result.Mark, Repeated: result.Repeated}, nil
}

// run runs a request that has a slot on the connection of the transaction and then releases the slot.
func (t *transaction) run(ctx context.Context, now func() time.Time, r Request) (model.Result, error) {
	started := now()
	var latency time.Duration
	defer func() { t.scheduler.release(now(), latency) }()
	result, err := t.conn.Run(ctx, model.Run{Term: t.term, Mode: r.Mode, RequestID: r.RequestID, Statements: r.Statements})
	latency = now().Sub(started)
	return result, err
}

// lookupTransaction returns the open transaction of a request; only the team and key that began it have access.
func (e *Executor) lookupTransaction(r Request) (*transaction, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.transactions[r.Transaction]
	if t == nil {
		return nil, errNoTransaction()
	}
	if t.team != r.Team || t.key != r.Key {
		return nil, model.Refuse(model.ReasonOtherTeam, "the transaction belongs to another caller")
	}
	return t, nil
}

// errNoTransaction returns the refusal of a request whose transaction is not open.
func errNoTransaction() error {
	return model.Refuse(model.ReasonNoTransaction, "the transaction has ended, was rolled back after being idle, or its VM was replaced; begin a new one")
}

// endTransaction removes a transaction. Its connection is reused only after a commit whose answer was read; otherwise it is dropped, which
// rolls the transaction back. The caller holds t.mu.
func (e *Executor) endTransaction(id string, t *transaction, reusable bool) {
	t.ended = true
	e.mu.Lock()
	delete(e.transactions, id)
	e.mu.Unlock()
	if reusable {
		t.scheduler.pool.Put(t.conn)
		return
	}
	t.scheduler.pool.Drop(t.conn)
}

// Sweep runs until the context ends and rolls back the transactions that have been idle for too long or whose key was revoked.
func (e *Executor) Sweep(ctx context.Context, revoked func(model.KeyID) bool) {
	for retry.Sleep(ctx, sweepInterval) {
		e.sweepOnce(e.config.Now(), revoked)
	}
}

// sweepOnce checks all open transactions once; it skips those that are running a statement.
func (e *Executor) sweepOnce(now time.Time, revoked func(model.KeyID) bool) {
	e.mu.Lock()
	open := make(map[string]*transaction, len(e.transactions))
	for id, t := range e.transactions {
		open[id] = t
	}
	e.mu.Unlock()
	for id, t := range open {
		if !t.mu.TryLock() {
			continue
		}
		if !t.ended && (now.Sub(t.lastUsed) > t.idleTimeout || revoked(t.key)) {
			e.endTransaction(id, t, false)
		}
		t.mu.Unlock()
	}
}

// OpenTransactions returns the number of open interactive transactions.
func (e *Executor) OpenTransactions() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.transactions)
}
