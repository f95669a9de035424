package soak

import (
	"bufio"
	"bytes"
	"net"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/sock"
)

const (
	// lineEnd ends a message; a line feed or a carriage return alone is a part of its text.
	lineEnd = "\r\n"
	// maxMessageBytes is the maximum length of a message in bytes, without its end.
	maxMessageBytes = 1 << 20
)

var errMessageTooLong = errors.New("the message is longer than 1 MiB")

// messageReader reads the messages that a VM sends to a caller. It follows the users' page and shares no code with the daemon, so that a fault of the
// daemon's framing is not repeated here.
type messageReader struct {
	conn net.Conn
	in   *bufio.Reader
}

func newMessageReader(conn net.Conn) *messageReader {
	return &messageReader{conn: conn, in: bufio.NewReader(conn)}
}

// next returns the text of the next message, byte for byte and without its end.
func (m *messageReader) next() (string, error) {
	var message []byte
	for {
		piece, err := m.in.ReadBytes('\n')
		message = append(message, piece...)
		if err != nil {
			return "", err
		}
		if text, ended := bytes.CutSuffix(message, []byte(lineEnd)); ended {
			return string(text), nil
		}
		if len(message) > maxMessageBytes {
			return "", errMessageTooLong
		}
	}
}

// arrived reports, without waiting, whether bytes or the end of the stream can be read.
func (m *messageReader) arrived() bool {
	if m.in.Buffered() > 0 {
		return true
	}
	conn, ok := m.conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	return err == nil && sock.Readable(raw)
}

// splitMessage splits a message at its first blank.
func splitMessage(message string) (word, rest string) {
	word, rest, _ = strings.Cut(message, " ")
	return word, rest
}
