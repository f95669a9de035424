package remote

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/conns"
	"github.com/crocusshore/crocusshore/model"
)

type (
	// SourceConfig names what a source works with.
	SourceConfig struct {
		Pool   *conns.Pool
		Client *Client
		// Homes returns where the connections of a team to an instance are held, best first; it is empty while no VM is known.
		Homes func(instance model.InstanceName, team model.TeamName) []Home
	}

	// Home is a VM that holds connections.
	Home struct {
		// Self tells that it is this VM, and Address is where another one takes requests.
		Self    bool
		Address netip.AddrPort
	}

	// Source gives connections of this VM or of the VM that holds them; it is safe for concurrent use.
	Source struct {
		config SourceConfig
	}
)

// NewSource returns a source.
func NewSource(config SourceConfig) *Source { return &Source{config: config} }

// Get returns a connection. One of this VM is waited for until the request's deadline; the wait for one of another VM is part of
// the first step on it. Errors leave nothing sent.
func (s *Source) Get(now time.Time, request conns.Request) (model.Connection, error) {
	homes := s.config.Homes(request.Instance.Name, request.Team)
	if len(homes) == 0 {
		return s.own(now, request)
	}
	return s.first(now, homes, request)
}

// first returns a connection of the first home that is in reach.
func (s *Source) first(now time.Time, homes []Home, request conns.Request) (model.Connection, error) {
	var last error
	for i, home := range homes {
		if home.Self {
			return s.own(now, request)
		}
		stream, err := s.config.Client.stream(now, home.Address)
		if err == nil {
			return &Conn{source: s, home: home.Address, stream: stream, request: request, rest: homes[i+1:]}, nil
		}
		last = err
	}
	return nil, errors.Wrapf(conns.ErrBusy, "no VM with connections is in reach: %v", last)
}

func (s *Source) own(now time.Time, request conns.Request) (model.Connection, error) {
	conn, err := s.config.Pool.Get(now, request)
	if err != nil {
		return nil, err
	}
	return conn, nil
}

// Put returns a connection; one that is broken or inside a transaction is closed.
func (s *Source) Put(now time.Time, connection model.Connection) {
	switch c := connection.(type) {
	case *conns.Conn:
		s.config.Pool.Put(now, c)
	case *Conn:
		s.putBack(now, c)
	}
}

func (s *Source) putBack(now time.Time, c *Conn) {
	switch {
	case c.own != nil:
		s.config.Pool.Put(now, c.own)
	case c.broken:
		_ = c.stream.conn.Close()
	default:
		s.config.Client.put(c.home, c.stream)
	}
}
