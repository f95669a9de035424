package soak

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// echo returns the address of a server that sends back all that it receives.
func echo(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return listener.Addr().String()
}

func TestProxyInjectsFaults(t *testing.T) {
	const soon = 50 * time.Millisecond
	p, err := NewProxy(echo(t))
	require.NoError(t, err)
	t.Cleanup(p.Close)
	conn, err := net.Dial("tcp", p.Address().String())
	require.NoError(t, err)
	in := bufio.NewReader(conn)
	roundTrip := func() (time.Duration, error) {
		start := time.Now()
		require.NoError(t, conn.SetDeadline(start.Add(time.Second)))
		if _, err := io.WriteString(conn, "x\n"); err != nil {
			return 0, err
		}
		_, err := in.ReadString('\n')
		return time.Since(start), err
	}
	took, err := roundTrip()
	require.NoError(t, err)
	require.Less(t, took, soon)
	p.Set(LinkFaults{Delay: soon})
	took, err = roundTrip()
	require.NoError(t, err)
	require.GreaterOrEqual(t, took, soon)
	for _, faults := range []LinkFaults{{StallToTarget: true}, {StallToClient: true}} {
		p.Set(faults)
		time.AfterFunc(2*soon, func() { p.Set(LinkFaults{}) })
		took, err = roundTrip()
		require.NoError(t, err, "stalled data must arrive once the fault has ended")
		require.GreaterOrEqual(t, took, 2*soon)
	}
	p.Reset()
	_, err = roundTrip()
	require.Error(t, err)
	p.Set(LinkFaults{Refuse: true})
	refused, err := net.Dial("tcp", p.Address().String())
	if err == nil {
		require.NoError(t, refused.SetDeadline(time.Now().Add(time.Second)))
		_, err = refused.Read(make([]byte, 1))
	}
	require.Error(t, err)
}
