package conns

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
)

// start counts a statement that continues a transaction. It does not wait for the window, since the transaction holds its connection and locks
// anyway, but for the rate of a cold instance.
func (c *Conn) start(deadline time.Time) error {
	if c.pool == nil || c.counted {
		return nil
	}
	now := clock.Now()
	c.pool.mu.Lock()
	c.counted = true
	wait := c.pool.bucket(c.Instance).running.add(now)
	c.pool.mu.Unlock()
	if wait > 0 && now.Add(wait).After(deadline) {
		return errors.Mark(busy(wait), model.ErrNotSent)
	}
	time.Sleep(wait)
	return nil
}

// finish ends the count of a statement inside a transaction. At the end of an operation, Put ends it, so that a waiting request gets this connection
// rather than a new one.
func (c *Conn) finish() {
	if c.pool == nil || c.broken || c.state == model.TxNone {
		return
	}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	b := c.pool.bucket(c.Instance)
	b.running.finish(c)
	c.pool.grantWaiting(clock.Now(), b)
}

// failed records a statement without an answer. An answer that does not match the statement is no evidence against the instance.
func (c *Conn) failed(err error) {
	if c.pool == nil || errors.Is(err, model.ErrUnmatched) {
		return
	}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.recordFailure(c.pool.bucket(c.Instance))
}
