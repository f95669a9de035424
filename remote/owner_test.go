package remote

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/conns"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/platform"
	"github.com/crocusshore/crocusshore/retry"
	"github.com/crocusshore/crocusshore/stand"
)

const teamName = "builders"

// host is a VM that owns connections.
type host struct {
	cluster *stand.Cluster
	pool    *conns.Pool
	address netip.AddrPort
	server  *Server

	mu       sync.Mutex
	instance model.Instance
	leased   bool
	using    int
	failing  bool
	failures []error
}

func (h *host) Instance(name model.InstanceName) (model.Instance, bool) {
	return h.instance, name == h.instance.Name
}

func (h *host) AllowAttempt(time.Time, model.InstanceName) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.failing
}

func (h *host) setFailing(failing bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failing = failing
}

func (h *host) BeginPrimaryUse(time.Time, model.Instance, model.Term) (func(), bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.leased {
		return nil, false
	}
	h.using++
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.using--
	}, true
}

func (h *host) RecordAnswer(time.Time, model.Instance, Request, model.Reply) {}

func (h *host) RecordFailure(_ model.InstanceName, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures = append(h.failures, err)
}

func (h *host) setLeased(leased bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leased = leased
}

// newHost returns a VM that may hold budget connections to one primary, and a source that uses them from another VM.
func newHost(t *testing.T, budget int) (*host, *Source) {
	t.Helper()
	instance := model.Instance{Name: "i-1", Group: "orders", Role: model.RolePrimary, Slots: 3}
	replica := model.Instance{Name: "i-2", Group: "orders", Role: model.RoleReplica, Slots: 3}
	h := &host{instance: instance, leased: true, cluster: stand.NewCluster(stand.ClusterConfig{Group: "orders", Instances: []model.Instance{instance, replica}})}
	pulling, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() {
		for retry.Sleep(pulling, time.Millisecond) {
			h.cluster.Replicate(time.Now())
		}
	}()
	h.pool = conns.New(conns.Config{Dialer: h.cluster, Formatter: platform.StatementFormatter{}, Budget: func(model.Instance) int { return budget }})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h.address = netip.MustParseAddrPort(listener.Addr().String())
	server := NewServer(ServerConfig{Pool: h.pool, LocalVM: h, Log: log.New(io.Discard)})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go server.Serve(conn)
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	h.server = server
	return h, newSource(h.address)
}

func newSource(owners ...netip.AddrPort) *Source {
	return NewSource(SourceConfig{Client: NewClient(), Owners: func(model.InstanceName, model.TeamName) []Owner {
		var found []Owner
		for _, address := range owners {
			found = append(found, Owner{Address: address})
		}
		return found
	}})
}

func get(t *testing.T, s *Source, wait time.Duration) model.PooledConn {
	t.Helper()
	now := clock.Now()
	c, err := s.Get(now, conns.Request{Instance: model.Instance{Name: "i-1"}, Team: teamName, Deadline: now.Add(wait), Term: 1})
	require.NoError(t, err)
	return c
}

// requireIs also matches the marks of errors, which the standard library's errors.Is ignores.
func requireIs(t *testing.T, err, target error, why ...any) {
	t.Helper()
	require.True(t, errors.Is(err, target), "%v %v", err, why)
}

func requireIsNot(t *testing.T, err, target error, why ...any) {
	t.Helper()
	require.False(t, errors.Is(err, target), "%v %v", err, why)
}

func soon() time.Time { return clock.Now().Add(time.Second) }
