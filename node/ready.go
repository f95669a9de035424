package node

import (
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/peers"
	"github.com/crocusshore/crocusshore/platform"
)

// headerTimeout bounds how long a peer or balancer may take to send the head of a request.
const headerTimeout = 2 * time.Second

// listen serves readiness, peers and metrics.
func (n *Node) listen() error {
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+platform.PathReady, n.answerReady)
	if err := n.serveHTTP(n.config.Settings.Ready, ready); err != nil {
		return err
	}
	if err := n.serveHTTP(n.config.Settings.Peers, peers.Handler(n, n.config.Log)); err != nil {
		return err
	}
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", n.config.MetricsHandler)
	return n.serveHTTP(n.config.Metrics, metrics)
}

func (n *Node) serveHTTP(address netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return errors.Wrapf(err, "listening on %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			n.config.Log.Error("server ended", "address", address, "error", err)
		}
	}()
	return nil
}

func (n *Node) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !n.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ready tells whether the VM can serve callers: it is not stopping or cut off, knows the settings and can use some primary or knows
// where one is.
func (n *Node) ready() bool {
	if n.stopping.Load() || n.isolated.Load() {
		return false
	}
	s := n.world.Snapshot()
	if s.Policy == nil || len(s.Instances) == 0 {
		return false
	}
	for group := range s.Policy.Groups {
		if _, known := s.Primaries[group]; known {
			return true
		}
	}
	return false
}
