package node

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestMessageThatIsNoTextIsAnswered guards against a connection that ends without an answer to a whole message because it holds bytes that
// are no text, or is too long.
func TestMessageThatIsNoTextIsAnswered(t *testing.T) {
	s := newSite(t, 1)
	c, err := s.dial(0, "revise", "key-1")
	require.NoError(t, err)
	for name, text := range map[string]string{
		"zero byte":     "WRITE item a\x00",
		"CR without LF": "WRITE item a\rb",
		"invalid UTF-8": "WRITE item \xff\xfe",
		"too long":      "WRITE item " + strings.Repeat("x", 1<<20),
	} {
		_, _, end, err := c.ask(text)
		require.NoError(t, err, name)
		require.Contains(t, end, "BADMSG", name)
	}
	c.must(t, "WRITE item a")
}

// TestFirstMessageThatOpensNoSessionIsAnswered guards against a connection that ends without an answer to its first message.
func TestFirstMessageThatOpensNoSessionIsAnswered(t *testing.T) {
	s := newSite(t, 1)
	for _, text := range []string{"START revise key\x00", "QUERY q1 READ item"} {
		conn, err := net.Dial("tcp", s.nodes[0].config.Settings.Callers.String())
		require.NoError(t, err)
		require.NoError(t, conn.SetDeadline(time.Now().Add(time.Second)))
		_, err = conn.Write([]byte(text + "\r\n"))
		require.NoError(t, err)
		line, err := bufio.NewReader(conn).ReadString('\n')
		require.NoError(t, err)
		require.Equal(t, "ERR BADMSG", strings.TrimSpace(line))
		require.NoError(t, conn.Close())
	}
}
