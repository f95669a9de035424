package remote

import (
	"bufio"

	"github.com/cockroachdb/errors"
)

// maxMessageBytes bounds a message between VMs, whose largest part is the rows of an answer. It is a message of an instance many times over.
const maxMessageBytes = 64 << 20

// errMessageTooLong reports a message of more than maxMessageBytes.
var errMessageTooLong = errors.New("the message of another VM is too long")

// limitedReader reads up to left bytes. It implements io.ByteReader, so that a gob.Decoder reads no further than the end of a message.
type limitedReader struct {
	r    *bufio.Reader
	left int
}

// Read reads bytes, no more than left.
func (l *limitedReader) Read(data []byte) (int, error) {
	if l.left <= 0 && len(data) > 0 {
		return 0, errMessageTooLong
	}
	n, err := l.r.Read(data[:min(len(data), max(0, l.left))])
	l.left -= n
	return n, err
}

// ReadByte reads one byte.
func (l *limitedReader) ReadByte() (byte, error) {
	if l.left <= 0 {
		return 0, errMessageTooLong
	}
	b, err := l.r.ReadByte()
	if err == nil {
		l.left--
	}
	return b, err
}
