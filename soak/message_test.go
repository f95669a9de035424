package soak

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// connect returns the two ends of a TCP connection.
func connect(t *testing.T) (client, server net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	client, err = net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	server, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	return client, server
}

// TestMessageEndsAtCRLFAlone guards against framing that takes a part of a message for a message: each text comes back byte for byte.
func TestMessageEndsAtCRLFAlone(t *testing.T) {
	texts := append([]string{"", "ROW ", "ROW  x  ", "a\rb", "a\r", "a\r\r", strings.Repeat("x", maxMessageBytes)}, unusualTexts...)
	client, server := connect(t)
	go func() {
		for _, text := range texts {
			_, _ = io.WriteString(server, text+"\r\n")
		}
		_, _ = io.WriteString(server, "ROW cut\n")
		_ = server.Close()
	}()
	in := newMessageReader(client)
	for _, text := range texts {
		message, err := in.next()
		require.NoError(t, err)
		require.Equal(t, text, message)
	}
	_, err := in.next()
	require.ErrorIs(t, err, io.EOF, "a message without its end is none")
}

func TestMessageThatIsTooLongIsAnError(t *testing.T) {
	client, server := connect(t)
	go func() { _, _ = io.WriteString(server, strings.Repeat("x\n", maxMessageBytes/2+1)) }()
	_, err := newMessageReader(client).next()
	require.ErrorIs(t, err, errMessageTooLong)
}

func TestArrivedSeesBytesAndTheEndWithoutWaiting(t *testing.T) {
	client, server := connect(t)
	in := newMessageReader(client)
	require.False(t, in.arrived())
	_, err := io.WriteString(server, "one\r\ntwo\r\n")
	require.NoError(t, err)
	require.Eventually(t, in.arrived, time.Second, time.Millisecond)
	for range 2 {
		require.True(t, in.arrived(), "the second message waits in the buffer")
		_, err = in.next()
		require.NoError(t, err)
	}
	require.False(t, in.arrived())
	require.NoError(t, server.Close())
	require.Eventually(t, in.arrived, time.Second, time.Millisecond)
}
