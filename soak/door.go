package soak

import (
	"net"
	"sync/atomic"
	"time"
)

// door is a listener that can stop to accept: meanwhile connections and what their clients send wait in the kernel, also after the clients
// have closed them.
type door struct {
	net.Listener
	shut   atomic.Bool
	closed atomic.Bool
}

func newDoor(listener net.Listener) *door { return &door{Listener: listener} }

// Accept returns the next connection once the door is open.
func (d *door) Accept() (net.Conn, error) {
	conn, err := d.Listener.Accept()
	for err == nil && d.shut.Load() && !d.closed.Load() {
		time.Sleep(stallPollInterval)
	}
	return conn, err
}

// Close closes the listener; a door that is shut no longer holds connections back.
func (d *door) Close() error {
	d.closed.Store(true)
	return d.Listener.Close()
}
