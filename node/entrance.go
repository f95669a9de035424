package node

import (
	"net"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/sock"
)

// entrance accepts connections, so that each of them is either counted as open or seen waiting.
type entrance struct {
	listener net.Listener
	log      *log.Logger
	// ended is closed once nothing is accepted any more.
	ended chan struct{}
}

func newEntrance(listener net.Listener, log *log.Logger) *entrance {
	return &entrance{listener: listener, log: log, ended: make(chan struct{})}
}

// acceptEach opens each connection at once and serves it in its own goroutine, until the listener is closed.
func (e *entrance) acceptEach(open func(net.Conn) (serve func())) {
	defer close(e.ended)
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			e.log.Warn("cannot accept connection", "address", e.listener.Addr(), "error", err)
			time.Sleep(drainPollInterval)
			continue
		}
		go open(conn)()
	}
}

// connectionWaits reports whether a connection has come that was not accepted yet.
func (e *entrance) connectionWaits() bool {
	conn, ok := e.listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	return err == nil && sock.ConnectionWaits(raw)
}

// close stops accepting.
func (e *entrance) close() {
	if err := e.listener.Close(); err != nil {
		e.log.Warn("cannot close listener for callers", "error", err)
	}
}

// hasEnded reports whether every connection that was accepted has been opened and no further one will be.
func (e *entrance) hasEnded() bool {
	select {
	case <-e.ended:
		return true
	default:
		return false
	}
}
