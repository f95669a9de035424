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
	// dialTimeout bounds a new stream to a VM of the own failure domain, which is a fraction of a millisecond away.
	dialTimeout = 150 * time.Millisecond
	// keepStreams bounds the idle streams to a VM.
	keepStreams = 8
	// downTime is how long a VM that did not answer is passed over.
	downTime = 2 * time.Second
)

// ErrHome reports that the VM that holds the connection did not answer; it says nothing of the instance.
var ErrHome = errors.New("the VM that holds the connection did not answer")

// Client keeps streams to other VMs; it is safe for concurrent use.
type Client struct {
	mu   sync.Mutex
	idle map[netip.AddrPort][]*stream
	down map[netip.AddrPort]time.Time
}

// NewClient returns a client without streams.
func NewClient() *Client {
	return &Client{idle: map[netip.AddrPort][]*stream{}, down: map[netip.AddrPort]time.Time{}}
}

// stream returns an idle or new stream to a VM; an error leaves nothing sent.
func (c *Client) stream(now time.Time, home netip.AddrPort) (*stream, error) {
	for {
		s, err := c.pop(now, home)
		if err != nil {
			return nil, err
		}
		if s == nil {
			return c.open(now, home)
		}
		if s.idle() {
			return s, nil
		}
		_ = s.conn.Close()
	}
}

func (c *Client) open(now time.Time, home netip.AddrPort) (*stream, error) {
	conn, err := net.DialTimeout("tcp", home.String(), dialTimeout)
	if err != nil {
		c.markDown(now, home)
		return nil, errors.Mark(errors.Mark(err, ErrHome), model.ErrNotSent)
	}
	return newStream(conn)
}

// pop returns an idle stream, or nil where there is none.
func (c *Client) pop(now time.Time, home netip.AddrPort) (*stream, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.down[home]) {
		return nil, errors.Mark(errors.Wrapf(ErrHome, "%s failed lately", home), model.ErrNotSent)
	}
	streams := c.idle[home]
	if len(streams) == 0 {
		return nil, nil
	}
	last := streams[len(streams)-1]
	c.idle[home] = streams[:len(streams)-1]
	return last, nil
}

func (c *Client) put(home netip.AddrPort, s *stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[home]) >= keepStreams {
		_ = s.conn.Close()
		return
	}
	c.idle[home] = append(c.idle[home], s)
}

func (c *Client) markDown(now time.Time, home netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down[home] = now.Add(downTime)
	for _, s := range c.idle[home] {
		_ = s.conn.Close()
	}
	delete(c.idle, home)
}
