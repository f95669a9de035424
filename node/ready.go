package node

import (
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/memory"
	"github.com/crocusshore/crocusshore/peers"
	"github.com/crocusshore/crocusshore/platform"
)

const (
	// headerTimeout bounds how long a peer or load balancer may take to send the header of a request, and requestTimeout the whole request.
	headerTimeout  = 2 * time.Second
	requestTimeout = 10 * time.Second
	// responseTimeout bounds the time from the header of a request to the end of its response, which a long poll holds back.
	responseTimeout = 15 * time.Second
	// idleTimeout bounds the time between two requests on a connection.
	idleTimeout = time.Minute
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 8 << 10
)

// listen starts to serve readiness, requests of peers and metrics, each at its own address.
func (n *Node) listen() error {
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+platform.PathReady, n.answerReady)
	if err := n.serveHTTP(n.config.Settings.Ready, n.gates.ready, ready); err != nil {
		return err
	}
	if err := n.serveHTTP(n.config.Settings.Peers, n.gates.peers, peers.LimitedHandler(n, n.config.Log, n.budget)); err != nil {
		return err
	}
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", n.config.MetricsHandler)
	return n.serveHTTP(n.config.Metrics, n.gates.metrics, metrics)
}

func (n *Node) serveHTTP(address netip.AddrPort, gate *memory.Gate, handler http.Handler) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return errors.Wrapf(err, "listening on %s", address)
	}
	server := &http.Server{
		Handler: markActive(handler), ReadHeaderTimeout: headerTimeout, ReadTimeout: requestTimeout, WriteTimeout: responseTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnState: markIdle, ConnContext: withVisit,
		ErrorLog: n.config.Log.StandardLog(log.StandardLogOptions{ForceLevel: log.ErrorLevel}),
	}
	in := newEntrance(entranceConfig{listener: listener, gate: gate, counts: n.counts, log: n.config.Log})
	go func() {
		if err := server.Serve(visitorListener{in}); err != nil && !errors.Is(err, http.ErrServerClosed) {
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
