package soak

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// proxyBufferBytes bounds the data that is forwarded at a time.
	proxyBufferBytes = 16 << 10
	// stallPollInterval is the interval at which a stalled direction checks whether it may continue.
	stallPollInterval = 5 * time.Millisecond
)

type (
	// LinkFaults describes the faults that a Proxy injects; the zero value injects none.
	LinkFaults struct {
		// Delay is added to each read in both directions.
		Delay time.Duration
		// StallToTarget holds back what the client sends, and StallToClient what the target sends; the data arrives once the fault has ended.
		StallToTarget, StallToClient bool
		// Refuse closes new connections at once.
		Refuse bool
	}

	// Proxy forwards TCP connections from a loopback port to a target and injects faults; it is safe for concurrent use.
	Proxy struct {
		listener net.Listener
		target   string
		// observe wraps the client's end of each connection.
		observe func(net.Conn) net.Conn
		faults  atomic.Pointer[LinkFaults]
		// interruption is active while the faults hold data back or refuse connections.
		interruption interruption

		mu    sync.Mutex
		conns map[*net.TCPConn]struct{}
	}
)

// NewProxy returns a running proxy on a free loopback port.
func NewProxy(target string) (*Proxy, error) {
	return newProxy(target, func(conn net.Conn) net.Conn { return conn })
}

func newProxy(target string, observe func(net.Conn) net.Conn) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, observe: observe, conns: map[*net.TCPConn]struct{}{}}
	p.Set(LinkFaults{})
	go p.accept()
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() netip.AddrPort { return netip.MustParseAddrPort(p.listener.Addr().String()) }

// Set replaces the faults, for open connections as well.
func (p *Proxy) Set(faults LinkFaults) {
	p.faults.Store(&faults)
	p.interruption.set(faults.StallToTarget || faults.StallToClient || faults.Refuse, time.Now())
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		_ = conn.SetLinger(0) // The connection is closed next, so an error is ignored.
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
	p.track(client, server)
	observed := p.observe(client)
	var wait sync.WaitGroup
	wait.Go(func() { p.forward(observed, server, func(f *LinkFaults) bool { return f.StallToTarget }) })
	wait.Go(func() { p.forward(server, observed, func(f *LinkFaults) bool { return f.StallToClient }) })
	wait.Wait()
	p.drop(client, server)
}

func (p *Proxy) track(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		p.conns[conn] = struct{}{}
	}
}

// drop closes connections and stops tracking them.
func (p *Proxy) drop(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		delete(p.conns, conn)
		_ = conn.Close()
	}
}

// forward copies data in one direction until either end closes. Stalled or delayed data is held back and keeps its order.
func (p *Proxy) forward(from, to net.Conn, stalled func(*LinkFaults) bool) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
	}()
	buffer := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		time.Sleep(p.faults.Load().Delay)
		for stalled(p.faults.Load()) {
			time.Sleep(stallPollInterval)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
