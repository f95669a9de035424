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
		// Homes returns where the connections of a team to an instance are held, best first; it is empty where each VM holds its own.
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
	var last error
	for _, home := range homes {
		if home.Self {
			return s.own(now, request)
		}
		stream, err := s.config.Client.take(now, home.Address)
		if stream == nil && err == nil {
			stream, err = s.config.Client.open(now, home.Address)
		}
		if err == nil {
			return &Conn{client: s.config.Client, home: home.Address, stream: stream, request: request}, nil
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
		if c.broken {
			_ = c.stream.conn.Close()
			return
		}
		c.client.put(c.home, c.stream)
	}
}
