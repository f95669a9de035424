package node

import (
	"bufio"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

// TestMessageThatIsNoTextIsAnswered guards against a connection that ends without an answer to a whole message because it holds bytes that
// are no text, or is too long.
func TestMessageThatIsNoTextIsAnswered(t *testing.T) {
	s := newSite(t, 1)
	c, err := s.dial(0, "revise", "key-1")
	require.NoError(t, err)
	for name, text := range map[string]string{
		"overlong zero byte":  "WRITE item a\xc0\x80",
		"half of a character": "WRITE item a\r\xe2\x82\nb",
		"invalid UTF-8":       "WRITE item \xff\xfe",
		"too long":            "WRITE item " + strings.Repeat("x", 1<<20),
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
	for text, want := range map[string]string{
		"START revise key\xff": "ERR BADMSG", "QUERY q1 READ item": "ERR BADMSG", "START revise key-1\xff\n": "ERR BADMSG",
		"START revise key\x00": "ERR NOAUTH", "START revise key-1\n": "ERR NOAUTH", "START revise key-1 ": "ERR NOAUTH",
	} {
		conn, err := net.Dial("tcp", s.nodes[0].config.Settings.Callers.String())
		require.NoError(t, err)
		require.NoError(t, conn.SetDeadline(time.Now().Add(time.Second)))
		_, err = conn.Write([]byte(text + "\r\n"))
		require.NoError(t, err)
		line, err := readMessage(bufio.NewReader(conn))
		require.NoError(t, err)
		require.Equal(t, want, line, "%q", text)
		require.NoError(t, conn.Close())
	}
}

// TestDataWithLineFeedsIsStoredUnchanged guards against data that is cut at a line feed, and whose rest is run as a statement of its own.
func TestDataWithLineFeedsIsStoredUnchanged(t *testing.T) {
	s := newSite(t, 1)
	c, err := s.dial(0, "revise", "key-1")
	require.NoError(t, err)
	for _, data := range []string{
		"a\nQUERY q9 WRITE other y", "a\nQUIT\n", "a\nDONE 7.inside\nREADY I 3.1\nx", "a\rb", "a\r", "a\x00b", "a\uFFFDb", "a  b", " a ", "\n",
	} {
		id, rows, end, err := c.ask("WRITE item " + data)
		require.NoError(t, err)
		require.Empty(t, rows)
		require.True(t, strings.HasPrefix(end, "DONE "), "%q: %s", data, end)
		require.Equal(t, 1, s.cluster.CommitCount(model.RequestID(id)), "%q", data)
		require.Equal(t, []string{data}, c.must(t, "READ item"), "the answer to the next statement is its own, with the data as it was sent")
	}
	require.Zero(t, s.cluster.CommitCount("q9"), "data is not run")
	require.Equal(t, []string{""}, c.must(t, "READ other"))
	require.NoError(t, c.conn.SetDeadline(time.Now().Add(100*time.Millisecond)))
	_, err = c.in.ReadByte()
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "nothing more is sent")
}
