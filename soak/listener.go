package soak

import (
	"net"
	"sync/atomic"
	"time"
)

// pausableListener is a listener that stops to accept while it is paused: meanwhile connections and what their clients send wait in the kernel,
// also after the clients have closed them.
type pausableListener struct {
	net.Listener
	paused atomic.Bool
	closed atomic.Bool
}

func newPausableListener(listener net.Listener) *pausableListener {
	return &pausableListener{Listener: listener}
}

// Accept returns the next connection once the listener is not paused.
func (l *pausableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	for err == nil && l.paused.Load() && !l.closed.Load() {
		time.Sleep(stallPollInterval)
	}
	return conn, err
}

// Close closes the listener, which holds no connections back from then on.
func (l *pausableListener) Close() error {
	l.closed.Store(true)
	return l.Listener.Close()
}
