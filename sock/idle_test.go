package sock

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestIdleDetectsDataAndTheEndOfTheStream(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	peer, err := listener.Accept()
	require.NoError(t, err)
	tcp, ok := conn.(*net.TCPConn)
	require.True(t, ok)
	raw, err := tcp.SyscallConn()
	require.NoError(t, err)
	require.True(t, Idle(raw))
	require.False(t, Readable(raw))
	_, err = peer.Write([]byte("x"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return !Idle(raw) }, time.Second, time.Millisecond, "something waits to be read")
	require.True(t, Readable(raw))
	_, err = conn.Read(make([]byte, 1))
	require.NoError(t, err)
	require.True(t, Idle(raw))
	require.NoError(t, peer.Close())
	require.Eventually(t, func() bool { return !Idle(raw) }, time.Second, time.Millisecond, "the end of the stream waits to be read")
	require.True(t, Readable(raw))
	require.NoError(t, conn.Close())
	require.False(t, Idle(raw), "a closed connection is not idle")
	require.False(t, Readable(raw), "a closed connection is not readable")
}

func TestConnectionWaitsUntilItIsAccepted(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	tcp, ok := listener.(*net.TCPListener)
	require.True(t, ok)
	raw, err := tcp.SyscallConn()
	require.NoError(t, err)
	require.False(t, ConnectionWaits(raw))
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.Eventually(t, func() bool { return ConnectionWaits(raw) }, time.Second, time.Millisecond)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	defer func() { _ = accepted.Close() }()
	require.False(t, ConnectionWaits(raw))
	require.NoError(t, listener.Close())
	require.False(t, ConnectionWaits(raw), "a closed listener has no connection")
}
