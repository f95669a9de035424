package pool

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/model"
)

const (
	// maxOpening bounds how many connections are opened at once, so that a failover starts no stampede.
	maxOpening = 4
	// closeTimeout bounds how long the upstream may take to close a connection.
	closeTimeout = time.Second
	// openTimeout bounds how long the upstream may take to open a connection.
	openTimeout = 2 * time.Second
)

// ErrClosed reports a pool that was closed.
var ErrClosed = errors.New("the pool is closed")

// Config describes a pool.
type Config struct {
	Upstream model.Upstream
	// MaxConns is how many connections the pool may have.
	MaxConns int
}

// Pool keeps the connections of one VM to one instance; a connection carries one request at a time.
type Pool struct {
	config      Config
	openPermits chan struct{}
	idle        chan model.UpstreamConn
	permits     chan struct{}

	mu     sync.Mutex
	closed bool
	inUse  map[model.UpstreamConn]bool
}

// New returns an empty pool.
func New(config Config) *Pool {
	return &Pool{
		config:      config,
		openPermits: make(chan struct{}, maxOpening),
		idle:        make(chan model.UpstreamConn, config.MaxConns),
		permits:     make(chan struct{}, config.MaxConns),
		inUse:       map[model.UpstreamConn]bool{},
	}
}

// Get returns a connection that no other request uses; it waits for one until the context ends.
func (p *Pool) Get(ctx context.Context) (model.UpstreamConn, error) {
	select {
	case c := <-p.idle:
		return p.markInUse(c)
	default:
	}
	select {
	case c := <-p.idle:
		return p.markInUse(c)
	case p.permits <- struct{}{}:
		return p.open(ctx)
	case <-ctx.Done():
		return nil, &model.UpstreamError{Code: model.CodeTooManyConnections, Detail: "no connection came free in time"}
	}
}

func (p *Pool) open(ctx context.Context) (model.UpstreamConn, error) {
	select {
	case p.openPermits <- struct{}{}:
		defer func() { <-p.openPermits }()
	case <-ctx.Done():
		<-p.permits
		return nil, &model.UpstreamError{Code: model.CodeTooManyConnections, Detail: "too many connections are being opened"}
	}
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	c, err := p.config.Upstream.Open(ctx)
	if err != nil {
		<-p.permits
		return nil, asNotRun(err)
	}
	return p.markInUse(c)
}

// asNotRun marks any failure to open as one that ran nothing.
func asNotRun(err error) error {
	var refused *model.UpstreamError
	if errors.As(err, &refused) {
		return refused
	}
	return &model.UpstreamError{Code: model.CodeUnavailable, Detail: "no connection could be opened: " + err.Error()}
}

// markInUse marks a connection as used; a connection that is used twice would mix two callers.
func (p *Pool) markInUse(c model.UpstreamConn) (model.UpstreamConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	if p.inUse[c] {
		return nil, errors.AssertionFailedf("a connection would carry two requests at once")
	}
	p.inUse[c] = true
	return c, nil
}

// Put gives a connection back whose last answer was read whole.
func (p *Pool) Put(c model.UpstreamConn) {
	p.mu.Lock()
	delete(p.inUse, c)
	closed := p.closed
	p.mu.Unlock()
	if closed {
		p.discard(c)
		return
	}
	p.idle <- c
}

// Drop closes a connection whose answer is outstanding or whose transaction is open.
func (p *Pool) Drop(c model.UpstreamConn) {
	p.mu.Lock()
	delete(p.inUse, c)
	p.mu.Unlock()
	p.discard(c)
}

// discard closes a connection in the background, since the upstream may not answer.
func (p *Pool) discard(c model.UpstreamConn) {
	<-p.permits
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		_ = c.Close(ctx)
	}()
}

// Close closes the idle connections and refuses new work.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Flush()
}

// Flush closes the idle connections, for instance after a change of the primary.
func (p *Pool) Flush() {
	for {
		select {
		case c := <-p.idle:
			p.discard(c)
		default:
			return
		}
	}
}

// OpenConns returns how many connections exist.
func (p *Pool) OpenConns() int { return len(p.permits) }
