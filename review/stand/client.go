package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

type (
	// client is a requester's session.
	client struct {
		name   string
		record *record
		conn   *lineConn
	}

	// answer is what a requester gets for a QUERY.
	answer struct {
		rows  []string
		mac   string
		fault string
		state string
	}
)

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// open starts a session of a database with a key at a VM.
func open(rec *record, name string, v *vm, database, key string) (*client, error) {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", v.address, frontPort), 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{name: name, record: rec, conn: newLineConn(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if err := c.conn.send("START " + database + " " + key); err != nil {
		return nil, err
	}
	message, err := c.conn.next()
	rec.add(name, "START %s at %s -> %q %v", database, v.name, message, err)
	if err != nil || !strings.HasPrefix(message, "READY I") {
		_ = conn.Close()
		return nil, fmt.Errorf("the session was not opened: %q %w", message, err)
	}
	return c, nil
}

// query sends a statement and reads its answer; an error means that the connection ended without a complete answer.
func (c *client) query(id, text string) (answer, error) {
	_ = c.conn.SetDeadline(time.Now().Add(8 * time.Second))
	c.record.add(c.name, "sends %q", "QUERY "+id+" "+text)
	var a answer
	if err := c.conn.send("QUERY " + id + " " + text); err != nil {
		c.record.add(c.name, "%s: not sent: %v", id, err)
		return a, err
	}
	a, err := c.read()
	c.record.add(c.name, "%s: answered %+v error=%v", id, a, err)
	return a, err
}

func (c *client) read() (answer, error) {
	var a answer
	for {
		message, err := c.conn.next()
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(message, " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "DONE":
			a.mac = rest
		case "ERR":
			a.fault = rest
		case "READY":
			a.state = rest
			return a, nil
		default:
			return a, fmt.Errorf("unexpected message %q", message)
		}
	}
}

func (c *client) close() { _ = c.conn.Close() }
