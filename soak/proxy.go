package soak

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// proxyBuffer is how much is passed on at a time, in bytes.
	proxyBuffer = 16 << 10
	// mutePoll is how often a muted direction looks whether it may go on.
	mutePoll = 5 * time.Millisecond
)

type (
	// LinkFaults is how a link misbehaves.
	LinkFaults struct {
		// Delay is added to all that passes.
		Delay time.Duration
		// MuteForth and MuteBack hold back what the client sends and what it gets.
		MuteForth, MuteBack bool
		// Refuse closes new connections at once.
		Refuse bool
	}

	// Proxy passes connections on to a target on loopback; it is safe for concurrent use.
	Proxy struct {
		listener net.Listener
		target   string
		faults   atomic.Pointer[LinkFaults]

		mu    sync.Mutex
		conns map[*net.TCPConn]struct{}
	}
)

// NewProxy returns a proxy on a port of its own.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, conns: map[*net.TCPConn]struct{}{}}
	p.Set(LinkFaults{})
	go p.accept()
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() netip.AddrPort { return netip.MustParseAddrPort(p.listener.Addr().String()) }

// Set changes how the link misbehaves.
func (p *Proxy) Set(faults LinkFaults) { p.faults.Store(&faults) }

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		_ = conn.SetLinger(0) // The connection is closed next, whatever it says.
		_ = conn.Close()
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn.(*net.TCPConn))
	}
}

func (p *Proxy) serve(client *net.TCPConn) {
	if p.faults.Load().Refuse {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	conn, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	server := conn.(*net.TCPConn)
	p.keep(client, server)
	var wait sync.WaitGroup
	wait.Go(func() { p.pass(client, server, func(f *LinkFaults) bool { return f.MuteForth }) })
	wait.Go(func() { p.pass(server, client, func(f *LinkFaults) bool { return f.MuteBack }) })
	wait.Wait()
	p.forget(client, server)
}

func (p *Proxy) keep(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		p.conns[conn] = struct{}{}
	}
}

func (p *Proxy) forget(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		delete(p.conns, conn)
		_ = conn.Close()
	}
}

// pass copies one direction until either end closes; what is muted or delayed is held back and keeps its order.
func (p *Proxy) pass(from, to *net.TCPConn, muted func(*LinkFaults) bool) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
	}()
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		time.Sleep(p.faults.Load().Delay)
		for muted(p.faults.Load()) {
			time.Sleep(mutePoll)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
