package node

import (
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/peers"
	"github.com/crocusshore/crocusshore/platform"
)

// headerTimeout bounds how long a peer or load balancer may take to send the header of a request.
const headerTimeout = 2 * time.Second

// listen starts to serve readiness, requests of peers and metrics, each at its own address.
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
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ErrorLog: n.config.Log.StandardLog(log.StandardLogOptions{ForceLevel: log.ErrorLevel}),
	}
	go func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			n.config.Log.Error("HTTP server ended", "address", address, "error", err)
		}
	}()
	return nil
}

func (n *Node) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !n.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ready reports whether the VM can serve callers: it is neither stopping nor isolated, has settings and instances, and has the primary
// record of at least one group.
func (n *Node) ready() bool {
	if n.stopping.Load() || n.isolated.Load() {
		return false
	}
	s := n.cache.Snapshot()
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
