package home

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/retry"
	"github.com/crocusshore/crocusshore/tree"
)

// sweepInterval is how often idle transactions are looked for.
const sweepInterval = 100 * time.Millisecond

// transaction is an interactive transaction on its exclusive connection.
type transaction struct {
	scheduler *scheduler
	conn      model.UpstreamConn
	team      model.TeamName
	key       model.KeyID
	term      model.Term
	idle      time.Duration

	// mu admits one statement at a time.
	mu       sync.Mutex
	lastUsed time.Time
	ended    bool
}

func (h *Executor) begin(ctx context.Context, w *scheduler, r Request) (Response, error) {
	c, err := w.pool.Get(ctx)
	if err != nil {
		return Response{}, refusal(r, err)
	}
	result, err := c.Run(ctx, model.Run{Term: r.Term, Mode: model.ModeBegin})
	if err != nil {
		w.pool.Drop(c)
		return Response{}, refusal(r, err)
	}
	t := &transaction{scheduler: w, conn: c, team: r.Team, key: r.Key, term: r.Term, idle: r.Settings.TransactionIdle, lastUsed: h.config.Now()}
	id := h.config.NewID()
	h.mu.Lock()
	h.transactions[id] = t
	h.mu.Unlock()
	return Response{Transaction: id, Mark: result.Mark}, nil
}

func (h *Executor) inTransaction(ctx context.Context, w *scheduler, group *tree.Group, r Request) (Response, error) {
	t, err := h.lookupTransaction(r)
	if err != nil {
		return Response{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return Response{}, noTransaction()
	}
	t.lastUsed = h.config.Now()
	if r.Mode == model.ModeRollback {
		h.endTransaction(r.Transaction, t, false)
		return Response{}, nil
	}
	if err := w.acquire(ctx, h.config.Now(), &r); err != nil {
		return Response{}, err
	}
	result, err := t.run(ctx, h.config.Now, r)
	if err != nil {
		var refused *model.UpstreamError
		if !errors.As(err, &refused) || refused.Code != model.CodeBadStatement {
			h.endTransaction(r.Transaction, t, false)
		}
		return Response{}, refusal(r, err)
	}
	if r.Mode == model.ModeCommit {
		h.endTransaction(r.Transaction, t, true)
	}
	if err := h.awaitReplicated(ctx, group, r, result); err != nil {
		return Response{}, err
	}
	return Response{Rows: result.Rows, Mark: result.Mark, Repeated: result.Repeated}, nil
}

func (t *transaction) run(ctx context.Context, now func() time.Time, r Request) (model.Result, error) {
	started := now()
	var latency time.Duration
	defer func() { t.scheduler.release(now(), latency) }()
	result, err := t.conn.Run(ctx, model.Run{Term: t.term, Mode: r.Mode, RequestID: r.RequestID, Statements: r.Statements})
	latency = now().Sub(started)
	return result, err
}

// lookupTransaction returns a transaction only to the key that began it.
func (h *Executor) lookupTransaction(r Request) (*transaction, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.transactions[r.Transaction]
	if t == nil {
		return nil, noTransaction()
	}
	if t.team != r.Team || t.key != r.Key {
		return nil, model.Refuse(model.ReasonOtherTeam, "the transaction belongs to another caller")
	}
	return t, nil
}

func noTransaction() error {
	return model.Refuse(model.ReasonNoTransaction, "the transaction has ended, was rolled back after being idle, or its VM was replaced; begin a new one")
}

// endTransaction removes a transaction; its connection is reused only after a commit whose answer was read.
func (h *Executor) endTransaction(id string, t *transaction, reusable bool) {
	t.ended = true
	h.mu.Lock()
	delete(h.transactions, id)
	h.mu.Unlock()
	if reusable {
		t.scheduler.pool.Put(t.conn)
		return
	}
	t.scheduler.pool.Drop(t.conn)
}

// Sweep rolls back the transactions that were idle for too long or whose key was withdrawn, until the context ends.
func (h *Executor) Sweep(ctx context.Context, withdrawn func(model.KeyID) bool) {
	for retry.Sleep(ctx, sweepInterval) {
		h.sweepOnce(h.config.Now(), withdrawn)
	}
}

func (h *Executor) sweepOnce(now time.Time, withdrawn func(model.KeyID) bool) {
	h.mu.Lock()
	open := make(map[string]*transaction, len(h.transactions))
	for id, t := range h.transactions {
		open[id] = t
	}
	h.mu.Unlock()
	for id, t := range open {
		if !t.mu.TryLock() {
			continue
		}
		if !t.ended && (now.Sub(t.lastUsed) > t.idle || withdrawn(t.key)) {
			h.endTransaction(id, t, false)
		}
		t.mu.Unlock()
	}
}

// OpenTransactions returns how many interactive transactions are open.
func (h *Executor) OpenTransactions() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.transactions)
}
