package bench

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// meter counts the bytes that a Fleet sends and receives, by the address dialled.
type meter struct {
	mu    sync.Mutex
	bytes map[string]*atomic.Int64
}

func newMeter() *meter { return &meter{bytes: map[string]*atomic.Int64{}} }

// wrap makes a transport count the bytes on its connections.
func (m *meter) wrap(transport *http.Transport) {
	var dialer net.Dialer
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &meteredConn{Conn: conn, count: m.counter(address)}, nil
	}
}

func (m *meter) counter(address string) *atomic.Int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := m.bytes[address]
	if count == nil {
		count = &atomic.Int64{}
		m.bytes[address] = count
	}
	return count
}

// totals returns the bytes to and from the given addresses, and those to and from all other addresses.
func (m *meter) totals(addresses map[string]bool) (among, outside int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, count := range m.bytes {
		if addresses[address] {
			among += count.Load()
		} else {
			outside += count.Load()
		}
	}
	return among, outside
}

type meteredConn struct {
	net.Conn
	count *atomic.Int64
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count.Add(int64(n))
	return n, err
}

// usage is what a Fleet uses: CPU time in cores, network traffic and memory for each VM, and reads of the store by all VMs together.
type usage struct {
	coreShare           float64
	bytesPerSecond      float64
	residentBytes       float64
	storeReadsPerSecond float64
}

// measureIdle measures a Fleet without callers for the time d; the CPU time includes that of the stand-ins.
func measureIdle(f *Fleet, m *meter, d time.Duration) usage {
	peers := map[string]bool{}
	for _, server := range f.Entries() {
		peers[server.PeerAddress.String()] = true
	}
	among, outside := m.totals(peers)
	cpu, reads, started := cpuTime(), f.Platform.Reads.Load(), time.Now()
	time.Sleep(d)
	elapsed := time.Since(started).Seconds()
	amongAfter, outsideAfter := m.totals(peers)
	vms := float64(len(f.Entries()))
	// A byte between two VMs is sent by one and received by the other.
	moved := float64(2*(amongAfter-among) + (outsideAfter - outside))
	return usage{
		coreShare:           (cpuTime() - cpu).Seconds() / elapsed / vms,
		bytesPerSecond:      moved / elapsed / vms,
		residentBytes:       heapBytes() / vms,
		storeReadsPerSecond: float64(f.Platform.Reads.Load()-reads) / elapsed,
	}
}
