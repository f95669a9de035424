package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// client is a caller's session.
type client struct {
	conn net.Conn
	in   *bufio.Reader
}

func (s *site) dial(node int, database, key string) (*client, error) {
	return dialAt(s.nodes[node].config.Settings.Callers.String(), database, key)
}

func dialAt(address, database, key string) (*client, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, in: bufio.NewReader(conn)}
	if _, err := fmt.Fprintf(conn, "START %s %s\r\n", database, key); err != nil {
		return nil, err
	}
	line, err := readMessage(c.in)
	if err != nil || !strings.HasPrefix(line, "READY I ") {
		_ = conn.Close()
		return nil, fmt.Errorf("session refused: %q %w", line, io.EOF)
	}
	return c, nil
}

// readMessage returns the next message without its end, which is CR LF; nothing else ends it.
func readMessage(in *bufio.Reader) (string, error) {
	var message strings.Builder
	for {
		piece, err := in.ReadString('\n')
		message.WriteString(piece)
		if text, ended := strings.CutSuffix(message.String(), "\r\n"); ended || err != nil {
			return text, err
		}
	}
}

var ids atomic.Int64

// askTimeout bounds the wait for an answer.
const askTimeout = 3 * time.Second

// ask runs a statement and returns its rows and the last line of the answer before READY.
func (c *client) ask(text string) (id string, rows []string, end string, err error) {
	return c.askWithin(askTimeout, text)
}

// askWithin is ask with another bound on the wait for the answer.
func (c *client) askWithin(timeout time.Duration, text string) (id string, rows []string, end string, err error) {
	id = fmt.Sprintf("q%d", ids.Add(1))
	if err := c.conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return id, nil, "", err
	}
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return id, nil, "", err
	}
	for {
		line, err := readMessage(c.in)
		if err != nil {
			return id, rows, end, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch {
		case word == "ROW" && end == "":
			rows = append(rows, rest)
		case (word == "DONE" || word == "ERR") && end == "":
			end = line
		case word == "READY" && end != "":
			return id, rows, end, nil
		default:
			return id, rows, end, fmt.Errorf("%q is no message of an answer here", line)
		}
	}
}

// must runs a statement that has to succeed, and returns its rows.
func (c *client) must(t *testing.T, text string) []string {
	t.Helper()
	_, rows, end, err := c.ask(text)
	require.NoError(t, err)
	require.True(t, strings.HasPrefix(end, "DONE"), "%s: %s", text, end)
	return rows
}
