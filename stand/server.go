package stand

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"time"
)

const readHeaderTimeout = 5 * time.Second

// Server is a listening HTTP server.
type Server struct {
	Address netip.AddrPort
	http    *http.Server
}

// Serve listens on an address and serves the handler; port 0 selects a free port.
func Serve(address netip.AddrPort, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, err
	}
	server := &Server{
		Address: listener.Addr().(*net.TCPAddr).AddrPort(),
		http:    &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: log.New(io.Discard, "", 0)},
	}
	go func() { _ = server.http.Serve(listener) }()
	return server, nil
}

// Close stops the server at once.
func (s *Server) Close() error { return s.http.Close() }

// Shutdown stops the server once the running requests have ended.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }
