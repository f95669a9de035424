package remote

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/model"
)

const (
	// dialTimeout bounds the opening of a stream to a VM of the same failure domain, which is a fraction of a millisecond away.
	dialTimeout = 150 * time.Millisecond
	// maxIdleStreams bounds the idle streams to a VM.
	maxIdleStreams = 8
	// unreachablePeriod bounds how long a VM is skipped after it did not answer.
	unreachablePeriod = 2 * time.Second
)

// ErrOwnerNoAnswer reports that the VM that owns the connection did not answer; it is no evidence of a failure of the instance.
var ErrOwnerNoAnswer = errors.New("the VM that owns the connection did not answer")

// Client keeps idle streams to other VMs; it is safe for concurrent use.
type Client struct {
	mu               sync.Mutex
	idle             map[netip.AddrPort][]*stream
	unreachableUntil map[netip.AddrPort]time.Time
}

// NewClient returns a client without streams.
func NewClient() *Client {
	return &Client{idle: map[netip.AddrPort][]*stream{}, unreachableUntil: map[netip.AddrPort]time.Time{}}
}

// stream returns an idle or new stream to a VM; where it returns an error, nothing was sent.
func (c *Client) stream(now time.Time, owner netip.AddrPort) (*stream, error) {
	for {
		s, err := c.pop(now, owner)
		if err != nil {
			return nil, err
		}
		if s == nil {
			return c.open(now, owner)
		}
		if s.idle() {
			return s, nil
		}
		_ = s.conn.Close()
	}
}

func (c *Client) open(now time.Time, owner netip.AddrPort) (*stream, error) {
	conn, err := net.DialTimeout("tcp", owner.String(), dialTimeout)
	if err != nil {
		c.markUnreachable(now, owner)
		return nil, errors.Mark(errors.Mark(err, ErrOwnerNoAnswer), model.ErrNotSent)
	}
	return newStream(conn)
}

// pop removes and returns an idle stream, or returns nil if there is none. It fails while the VM is marked as unreachable.
func (c *Client) pop(now time.Time, owner netip.AddrPort) (*stream, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.unreachableUntil[owner]) {
		return nil, errors.Mark(errors.Wrapf(ErrOwnerNoAnswer, "%s failed recently", owner), model.ErrNotSent)
	}
	streams := c.idle[owner]
	if len(streams) == 0 {
		return nil, nil
	}
	last := streams[len(streams)-1]
	c.idle[owner] = streams[:len(streams)-1]
	return last, nil
}

// put keeps an idle stream, or closes it if maxIdleStreams are kept already.
func (c *Client) put(owner netip.AddrPort, s *stream) {
	s.room = nil
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[owner]) >= maxIdleStreams {
		_ = s.conn.Close()
		return
	}
	c.idle[owner] = append(c.idle[owner], s)
}

// markUnreachable marks a VM as unreachable for unreachablePeriod and closes its idle streams.
func (c *Client) markUnreachable(now time.Time, owner netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreachableUntil[owner] = now.Add(unreachablePeriod)
	for _, s := range c.idle[owner] {
		_ = s.conn.Close()
	}
	delete(c.idle, owner)
}
