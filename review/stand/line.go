package main

import (
	"bufio"
	"errors"
	"net"
	"strings"
)

// lineConn speaks the wire: messages end with CR LF.
type lineConn struct {
	net.Conn
	in *bufio.Reader
}

func newLineConn(conn net.Conn) *lineConn { return &lineConn{Conn: conn, in: bufio.NewReader(conn)} }

var errBadMessage = errors.New("a message that does not end with CR LF")

// next returns the next message without its end. A line feed alone does not end a message.
func (c *lineConn) next() (string, error) {
	var message strings.Builder
	for {
		piece, err := c.in.ReadString('\n')
		message.WriteString(piece)
		if err != nil {
			return message.String(), err
		}
		if strings.HasSuffix(piece, "\r\n") {
			return strings.TrimSuffix(message.String(), "\r\n"), nil
		}
		if message.Len() > 1<<20 {
			return "", errBadMessage
		}
	}
}

func (c *lineConn) send(lines ...string) error {
	_, err := c.Write([]byte(strings.Join(lines, "\r\n") + "\r\n"))
	return err
}
