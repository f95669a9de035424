package conns

import (
	"time"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
)

const (
	// dialTimeout bounds the opening of a connection; a healthy instance takes about 15 ms.
	dialTimeout = 400 * time.Millisecond
	// minDialTime is the time with which the failure to open a connection is evidence against the instance.
	minDialTime = 100 * time.Millisecond
	// refusedPause is the pause before the next connection is opened to an instance that refused one because it had too many.
	refusedPause = 300 * time.Millisecond
)

type (
	// grant is what a request gets: a connection, or the permission to open one after closing evict if that is set.
	grant struct {
		conn  *Conn
		evict *Conn
		// counted is set if the grant counts among the connections that run a statement.
		counted bool
	}

	// waiter is a request that waits; decided receives a grant or, if refused is set, the end of the wait.
	waiter struct {
		request Request
		decided chan decision
	}

	decision struct {
		grant   grant
		refused bool
		// retryAfter is the time after which a refused request would have been granted a connection.
		retryAfter time.Duration
	}
)

func (p *Pool) await(now time.Time, w *waiter) (*Conn, error) {
	timer := time.NewTimer(w.request.Deadline.Sub(now))
	defer timer.Stop()
	select {
	case d := <-w.decided:
		return p.follow(w.request, d)
	case <-timer.C:
	}
	p.mu.Lock()
	b := p.bucket(w.request.Instance)
	b.waiting.Remove(func(other *waiter) bool { return other == w })
	retryAfter := b.usualHold
	p.mu.Unlock()
	select {
	case d := <-w.decided:
		if !d.refused {
			p.returnGrant(w.request.Instance, d.grant)
		}
	default:
	}
	return nil, busy(retryAfter)
}

// follow returns the connection of a granted request, or the error of a refused one.
func (p *Pool) follow(request Request, d decision) (*Conn, error) {
	if d.refused {
		return nil, busy(d.retryAfter)
	}
	return p.fulfil(request, d.grant)
}

// returnGrant returns a grant that arrived after the wait for it had ended.
func (p *Pool) returnGrant(instance model.Instance, g grant) {
	if g.conn != nil {
		g.conn.counted = g.counted
		p.Put(clock.Now(), g.conn)
		return
	}
	if g.evict != nil {
		g.evict.instanceConn.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.bucket(instance)
	b.open--
	b.running.giveBack(g)
	p.grantWaiting(clock.Now(), b)
}

// fulfil returns the granted connection or opens one.
func (p *Pool) fulfil(request Request, g grant) (*Conn, error) {
	now := clock.Now()
	if g.conn != nil {
		g.conn.counted = g.counted
		g.conn.taken(now, request)
		return g.conn, nil
	}
	if !now.Before(request.Deadline) {
		p.returnGrant(request.Instance, g)
		return nil, busy(0)
	}
	if g.evict != nil {
		g.evict.instanceConn.Close()
	}
	deadline := clock.Earlier(request.Deadline, now.Add(dialTimeout))
	conn, err := p.config.Dialer.Dial(clock.Wall(deadline), request.Instance, request.Team)
	if err == nil {
		c := &Conn{
			Instance: request.Instance, Team: request.Team, instanceConn: conn, formatter: p.config.Formatter,
			prepared: map[model.Prepared]string{}, pool: p, counted: g.counted, answers: newAnswers(), state: model.TxNone, onUnmatched: p.recordUnmatched,
		}
		c.taken(now, request)
		return c, nil
	}
	return nil, p.dialFailed(request, g, err, deadline.Sub(now) < minDialTime)
}

// dialFailed returns the grant of a connection that was not opened, and the error for the request. One that the deadline of the request cut short is
// no evidence against the instance.
func (p *Pool) dialFailed(request Request, g grant, err error, cutShort bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.bucket(request.Instance)
	b.open--
	b.running.giveBack(g)
	now := clock.Now()
	refused, ok := model.Refused(err)
	if !ok && !cutShort {
		p.recordFailure(b)
	}
	if ok && refused.Fault == model.FaultTooMany {
		b.pausedUntil = now.Add(refusedPause)
	}
	p.grantWaiting(now, b)
	if cutShort && !ok && !now.Before(request.Deadline) {
		return busyError(err)
	}
	return err
}
