package pool

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/model"
)

const (
	// maxOpening bounds how many connections are being opened at once, so that a failover causes no burst of new connections.
	maxOpening = 4
	// closeTimeout bounds a call of UpstreamConn.Close.
	closeTimeout = time.Second
	// openTimeout bounds a call of Upstream.Open.
	openTimeout = 2 * time.Second
)

// ErrClosed means that the pool was closed.
var ErrClosed = errors.New("the pool is closed")

// Config configures a Pool.
type Config struct {
	Upstream model.Upstream
	// MaxConns is the maximum number of connections of the pool.
	MaxConns int
}

// Pool keeps the connections of one VM to one instance. A connection carries one request at a time.
type Pool struct {
	config Config
	// openPermits holds one element per connection that is being opened.
	openPermits chan struct{}
	idle        chan model.UpstreamConn
	// permits holds one element per connection, whether it is being opened, idle or in use.
	permits chan struct{}

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

// Get returns a connection that no other request uses. It waits for one until the context ends.
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

// open opens a connection. The caller has added an element to p.permits, which open removes if it fails.
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

// asNotRun converts any error of opening a connection into a *model.UpstreamError, because nothing ran.
func asNotRun(err error) error {
	var refused *model.UpstreamError
	if errors.As(err, &refused) {
		return refused
	}
	return &model.UpstreamError{Code: model.CodeUnavailable, Detail: "no connection could be opened: " + err.Error()}
}

// markInUse marks a connection as in use. It fails if the connection is in use already, which would mix the requests of two callers.
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

// Put returns a connection whose last answer was read in full to the pool.
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

// discard closes a connection in the background, because the upstream may not answer.
func (p *Pool) discard(c model.UpstreamConn) {
	<-p.permits
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		_ = c.Close(ctx)
	}()
}

// Close closes the idle connections and makes later calls of Get fail.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Flush()
}

// Flush closes the idle connections, for example after a change of the primary.
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

// OpenConns returns the number of connections, including those being opened.
func (p *Pool) OpenConns() int { return len(p.permits) }
