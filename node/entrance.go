package node

import (
	"net"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/memory"
	"github.com/crocusshore/crocusshore/sock"
)

// acceptPause is the pause after a connection could not be accepted, for instance because the process has no descriptors left.
const acceptPause = 50 * time.Millisecond

type (
	// entrance accepts connections, so that each of them is either counted as open or seen waiting.
	entrance struct {
		entranceConfig
		// ended is closed once nothing is accepted any more.
		ended chan struct{}
	}

	// entranceConfig holds the settings and dependencies of an entrance.
	entranceConfig struct {
		listener net.Listener
		gate     *memory.Gate
		counts   *memory.Counts
		// refuse, if set, sends a client the reason why its connection is closed. It must not block.
		refuse func(net.Conn)
		log    *log.Logger
	}
)

func newEntrance(config entranceConfig) *entrance {
	return &entrance{entranceConfig: config, ended: make(chan struct{})}
}

// acceptEach opens each connection at once and serves it in its own goroutine, until the listener is closed.
func (e *entrance) acceptEach(open func(net.Conn, *memory.Visit) (serve func())) {
	defer close(e.ended)
	for {
		conn, visit, err := e.accept()
		if err != nil {
			return
		}
		serve := open(conn, visit)
		go func() {
			defer visit.Leave()
			serve()
		}()
	}
}

// accept returns the next connection that the gate admits. It returns an error only once the listener is closed.
func (e *entrance) accept() (net.Conn, *memory.Visit, error) {
	for {
		conn, err := e.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, nil, err
		}
		if err != nil {
			e.counts.Add(memory.KindAccept)
			e.log.Debug("cannot accept connection", "address", e.listener.Addr(), "error", err)
			time.Sleep(acceptPause)
			continue
		}
		if visit := e.gate.Enter(clock.Now(), func() { _ = conn.Close() }); visit != nil {
			return conn, visit, nil
		}
		if e.refuse != nil {
			e.refuse(conn)
		}
		_ = conn.Close()
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
