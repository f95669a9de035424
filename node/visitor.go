package node

import (
	"context"
	"net"
	"net/http"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/memory"
)

type (
	// visitorListener is a listener of an HTTP server whose connections a gate has admitted.
	visitorListener struct{ *entrance }

	// visitorConn is an admitted connection; its visit ends when it is closed.
	visitorConn struct {
		net.Conn
		visit *memory.Visit
	}

	// visitorKey is the key of the visit in the context of a request.
	visitorKey struct{}
)

// Accept returns the next connection that the gate admits.
func (l visitorListener) Accept() (net.Conn, error) {
	conn, visit, err := l.accept()
	if err != nil {
		return nil, err
	}
	return &visitorConn{Conn: conn, visit: visit}, nil
}

// Close stops accepting.
func (l visitorListener) Close() error { return l.listener.Close() }

// Addr returns the address of the listener.
func (l visitorListener) Addr() net.Addr { return l.listener.Addr() }

// Close ends the visit and closes the connection.
func (c *visitorConn) Close() error {
	c.visit.Leave()
	return c.Conn.Close()
}

// markIdle marks connections between two requests as unused.
func markIdle(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*visitorConn); ok && state == http.StateIdle {
		c.visit.MarkIdle(clock.Now())
	}
}

// withVisit adds the visit of a connection to the context of its requests.
func withVisit(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*visitorConn); ok {
		return context.WithValue(ctx, visitorKey{}, c.visit)
	}
	return ctx
}

// markActive marks the connection of each request as one in use.
func markActive(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if visit, ok := r.Context().Value(visitorKey{}).(*memory.Visit); ok {
			visit.MarkActive()
		}
		handler.ServeHTTP(w, r)
	})
}
