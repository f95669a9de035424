package conns

import (
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/queue"
	"github.com/crocusshore/crocusshore/tree"
	"github.com/crocusshore/crocusshore/window"
)

type (
	// Config holds the dependencies of a pool.
	Config struct {
		Dialer    model.Dialer
		Formatter model.StatementFormatter
		// Budget returns how many connections this VM may hold to an instance.
		Budget func(instance model.Instance) int
		// Limited reports whether a window limits the statements that this VM runs at an instance at once; nil stands for no limit.
		Limited func(instance model.Instance) bool
		// ColdRate returns the rate of this VM at an instance that is cold. It returns nil if the settings limit no rate, and false if this VM must
		// send nothing to it. A nil ColdRate stands for no limit.
		ColdRate func(instance model.Instance) (rate *window.Rate, ok bool)
		// Log and Metrics, if set, receive the answers of instances that were not accepted.
		Log     *log.Logger
		Metrics tally.Scope
	}

	// Request asks for a connection.
	Request struct {
		Instance model.Instance
		Team     model.TeamName
		Values   map[string]string
		Class    tree.Class
		// Deadline is when the statement has to start at the latest.
		Deadline time.Time
		// AnyTeam accepts an idle connection of any team; it is for administrative statements and status requests.
		AnyTeam bool
		// StatusMaxAge is how long ago the instance may have been asked for the answer to a status request; with 0, it is asked anew.
		StatusMaxAge time.Duration
		// New takes no idle connection, because an answer on one that was used may be an earlier one.
		New bool
		// Route is the route of the caller's statements; it is empty for administrative statements and status requests.
		Route model.RouteName
		// Term is set if the instance is used as the primary of that term.
		Term model.Term
	}

	// Pool holds the connections of a VM; it is safe for concurrent use.
	Pool struct {
		config Config

		mu      sync.Mutex
		buckets map[model.InstanceName]*bucket
		// baselines hold how long statements of each kind take at instances without a queue.
		baselines map[statementKind]*window.Baseline
	}
)

// New returns an empty pool.
func New(config Config) *Pool {
	if config.Log == nil {
		config.Log = log.New(io.Discard)
	}
	if config.Metrics == nil {
		config.Metrics = tally.NoopScope
	}
	return &Pool{config: config, buckets: map[model.InstanceName]*bucket{}, baselines: map[statementKind]*window.Baseline{}}
}

// Get returns a connection and waits for one until the request's deadline; where it returns an error, nothing was sent.
func (p *Pool) Get(now time.Time, request Request) (*Conn, error) {
	p.mu.Lock()
	b := p.bucket(request.Instance)
	p.prepare(now, b, request)
	if b.running.closed(now) {
		p.mu.Unlock()
		return nil, busy(b.running.coldUntil.Sub(now))
	}
	if b.admits(now, request) {
		if g, ok := b.take(now, request, p.config.Budget(request.Instance)); ok {
			p.mu.Unlock()
			return p.fulfil(request, g)
		}
	}
	w := &waiter{request: request, decided: make(chan decision, 1)}
	err := b.waiting.Push(now, b.capacity(p.config.Budget(request.Instance)), queue.Entry[*waiter]{
		Team: request.Team, Class: request.Class, Weight: 1, Deadline: request.Deadline, Value: w,
	})
	if err == nil {
		p.grantWaiting(now, b)
	}
	p.mu.Unlock()
	if err != nil {
		return nil, busyError(err)
	}
	return p.await(now, w)
}

// Put takes a connection back; it closes one that must not be used again or is beyond the budget.
func (p *Pool) Put(now time.Time, c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.bucket(c.Instance)
	c.usedAt = now
	b.running.finish(c)
	b.recordHold(now, c)
	if !c.reusable() || b.instance.Address != c.Instance.Address || b.open > p.config.Budget(b.instance) {
		c.instanceConn.Close()
		b.open--
	} else {
		b.idle = append(b.idle, c)
	}
	p.grantWaiting(now, b)
}

// Drop closes the idle connections to an instance that was removed.
func (p *Pool) Drop(name model.InstanceName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.buckets[name]
	if b == nil {
		return
	}
	for _, c := range b.idle {
		c.instanceConn.Close()
		b.open--
	}
	b.idle = nil
	if b.open == 0 && b.waiting.Len() == 0 {
		delete(p.buckets, name)
	}
}

// Trim closes the idle connections that are beyond the budgets, which shrink when VMs join or a primary is replaced.
func (p *Pool) Trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.buckets {
		budget := p.config.Budget(b.instance)
		for len(b.idle) > 0 && b.open > budget {
			b.remove(b.leastRecentlyUsed()).instanceConn.Close()
			b.open--
		}
	}
}

// InUse returns how many connections to an instance are in use or being opened, and how many requests wait.
func (p *Pool) InUse(name model.InstanceName) (used, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.buckets[name]
	if b == nil {
		return 0, 0
	}
	return b.open - len(b.idle), b.waiting.Len()
}

// bucket returns the bucket of an instance, which it creates if there is none, and sets its registration; the caller holds the lock.
func (p *Pool) bucket(instance model.Instance) *bucket {
	b := p.buckets[instance.Name]
	if b == nil {
		b = &bucket{waiting: queue.New[*waiter]()}
		p.buckets[instance.Name] = b
	}
	b.instance = instance
	return b
}

// grantWaiting grants what is available to the waiting requests and ends the waits of those that come too late; the caller holds the lock.
func (p *Pool) grantWaiting(now time.Time, b *bucket) {
	budget := p.config.Budget(b.instance)
	b.refuseLate(now, budget)
	for b.waiting.Len() > 0 && b.pace.allows(now) && b.running.hasRoom(now) && b.canGrant(now, budget) {
		entry, ok := b.waiting.Pop()
		if !ok {
			return
		}
		g, ok := b.take(now, entry.Value.request, budget)
		if !ok {
			return
		}
		entry.Value.decided <- decision{grant: g}
	}
	p.wakeUp(now, b)
}

// wakeUp sees to it that the waiting requests are granted what the bucket allows later; the caller holds the lock.
func (p *Pool) wakeUp(now time.Time, b *bucket) {
	at := b.allowedAt()
	if b.wakesUp || b.waiting.Len() == 0 || !at.After(now) {
		return
	}
	b.wakesUp = true
	time.AfterFunc(at.Sub(now), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		b.wakesUp = false
		p.grantWaiting(clock.Now(), b)
	})
}

// recordAnswer records what the answer of an instance to a statement shows of its slots.
func (p *Pool) recordAnswer(now time.Time, c *Conn, q model.Query, reply model.Reply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.buckets[c.Instance.Name]
	if b == nil {
		return
	}
	switch {
	case reply.Fault == model.FaultBusy:
		b.pace.full(now, b.usualWork, b.instance.Slots)
	case reply.Fault == "" && q.Work:
		recordMean(&b.usualWork, reply.Took)
		b.pace.served(now)
	}
	p.recordWindow(now, b, c, q, reply)
}
