//go:build review2

package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// client is a session of a requester.
type client struct {
	conn net.Conn
	in   *bufio.Reader
}

// result is the answer to one request.
type result struct {
	rows         []string
	proof, fault string
	state        string
}

var lastID atomic.Int64

func open(m *vm, database, key string) (*client, error) {
	conn, err := net.DialTimeout("tcp", m.settings.Callers.String(), 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, in: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "START %s %s\r\n", database, key); err != nil {
		_ = conn.Close()
		return nil, err
	}
	first, err := readMessage(c.in)
	if err != nil || !strings.HasPrefix(first, "READY") {
		_ = conn.Close()
		return nil, fmt.Errorf("START answered with %q: %w", first, err)
	}
	return c, nil
}

func (c *client) close() { _ = c.conn.Close() }

// do sends one request and returns its id and its answer.
func (c *client) do(text string) (id string, r result, err error) {
	id = fmt.Sprintf("q%08d", lastID.Add(1))
	_ = c.conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := c.conn.Write([]byte("QUERY " + id + " " + text + "\r\n")); err != nil {
		return id, r, err
	}
	for {
		message, err := readMessage(c.in)
		if err != nil {
			return id, r, err
		}
		word, rest, _ := strings.Cut(message, " ")
		switch word {
		case "ROW":
			r.rows = append(r.rows, rest)
		case "DONE":
			r.proof = rest
		case "ERR":
			r.fault = rest
		case "READY":
			r.state, _, _ = strings.Cut(rest, " ")
			return id, r, nil
		}
	}
}
