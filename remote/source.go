package remote

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/conns"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/status"
)

type (
	// SourceConfig holds the dependencies of a source.
	SourceConfig struct {
		Pool   *conns.Pool
		Client *Client
		// Statuses shares the answers to status requests on connections of this VM; nil shares none.
		Statuses *status.Board
		// Owners returns the VMs that own the connections to an instance, in the order in which a team uses them; it returns none while the
		// cached state has no VMs.
		Owners func(instance model.InstanceName, team model.TeamName) []Owner
		// BeginPrimaryUse is LocalVM.BeginPrimaryUse of this VM; nil allows every use.
		BeginPrimaryUse func(now time.Time, instance model.Instance, term model.Term) (done func(), ok bool)
		// MayRun is LocalVM.MayRun of this VM; nil allows every statement.
		MayRun func(now time.Time, instance model.Instance, open bool) bool
	}

	// Owner is a VM that owns connections to an instance.
	Owner struct {
		// Self is set if it is this VM; Address is where another VM takes requests.
		Self    bool
		Address netip.AddrPort
	}

	// Source provides connections of this VM or of another VM that owns them; it is safe for concurrent use.
	Source struct {
		config SourceConfig
	}
)

// NewSource returns a source.
func NewSource(config SourceConfig) *Source { return &Source{config: config} }

// Get returns a connection. If this VM owns the connection, Get waits for it until the request's deadline. If another VM owns it, that wait
// is part of the first step on the connection. Where Get returns an error, nothing was sent.
func (s *Source) Get(now time.Time, request conns.Request) (model.PooledConn, error) {
	owners := s.config.Owners(request.Instance.Name, request.Team)
	if len(owners) == 0 {
		return s.getLocal(now, request)
	}
	return s.firstReachable(now, owners, request)
}

// firstReachable returns a connection of the first owner that is reachable.
func (s *Source) firstReachable(now time.Time, owners []Owner, request conns.Request) (model.PooledConn, error) {
	var last error
	for i, owner := range owners {
		if owner.Self {
			return s.getLocal(now, request)
		}
		stream, err := s.config.Client.stream(now, owner.Address)
		if err == nil {
			return &Conn{source: s, owner: owner.Address, stream: stream, request: request, remaining: owners[i+1:]}, nil
		}
		last = err
	}
	return nil, errors.Wrapf(conns.ErrBusy, "no VM that owns connections is reachable: %v", last)
}

func (s *Source) getLocal(now time.Time, request conns.Request) (model.PooledConn, error) {
	if request.StatusMaxAge > 0 {
		return &statusConn{source: s, request: request}, nil
	}
	conn, err := s.config.Pool.Get(now, request)
	if err != nil {
		return nil, err
	}
	return conn, nil
}

// Put takes a connection back; one that is broken is closed. The caller breaks a connection that is still inside a transaction.
func (s *Source) Put(now time.Time, connection model.PooledConn) {
	switch c := connection.(type) {
	case *conns.Conn:
		s.config.Pool.Put(now, c)
	case *Conn:
		s.putBack(now, c)
	}
}

func (s *Source) putBack(now time.Time, c *Conn) {
	switch {
	case c.local != nil:
		s.config.Pool.Put(now, c.local)
	case c.broken, c.stream.large:
		_ = c.stream.conn.Close()
	default:
		s.config.Client.put(c.owner, c.stream)
	}
}
