package remote

import (
	"bufio"

	"github.com/cockroachdb/errors"
)

const (
	// maxAnswerBytes bounds an answer between VMs, whose largest part is the rows. It is a message of an instance many times over.
	maxAnswerBytes = 64 << 20
	// maxRequestBytes bounds a request between VMs: a statement and its arguments, a prepared one and the values of a session.
	maxRequestBytes = 5 << 20

	// maxSmallLength is the largest length that a gob message states in one byte. A larger first byte is the negated number of the bytes that follow and
	// state the length.
	maxSmallLength = 0x7f
	// maxLengthBytes is the maximum number of bytes that state a length.
	maxLengthBytes = 8
)

// errMessageTooLong reports a message that is longer than allowed.
var errMessageTooLong = errors.New("the message of another VM is too long")

// limitedReader reads up to left bytes. It implements io.ByteReader, so that a gob.Decoder reads no further than the end of a message. It parses the
// lengths at the beginning of gob messages, since the decoder allocates a buffer of that length before the message has arrived.
type limitedReader struct {
	r    *bufio.Reader
	left int
	// grow, if set, is called with size, the sum of the lengths since begin, before the decoder reads a gob message.
	grow func(size int) error
	// wait, if set, is called with the number of bytes read since begin before a read that may block.
	wait func(size int) error
	size int

	// lengthBytes is the number of bytes of a length that are still to come, length its value so far, and payload the number of bytes that are left of
	// the present gob message. read is the number of bytes read since begin.
	lengthBytes int
	length      uint64
	payload     int
	read        int
}

// begin allows a message of up to left bytes.
func (l *limitedReader) begin(left int) { l.left, l.size, l.read = left, 0, 0 }

// Read reads bytes, no more than left.
func (l *limitedReader) Read(data []byte) (int, error) {
	if l.left <= 0 && len(data) > 0 {
		return 0, errMessageTooLong
	}
	if err := l.beforeRead(); err != nil {
		return 0, err
	}
	n, err := l.r.Read(data[:min(len(data), max(0, l.left))])
	l.left -= n
	l.read += n
	if lengthErr := l.parse(data[:n]); lengthErr != nil {
		return 0, lengthErr
	}
	return n, err
}

// skip reads the rest of a message whose length was refused.
func (l *limitedReader) skip() error {
	for l.payload > 0 {
		if err := l.beforeRead(); err != nil {
			return err
		}
		n, err := l.r.Discard(min(l.payload, max(1, l.r.Buffered())))
		l.payload -= n
		l.read += n
		if err != nil {
			return err
		}
	}
	return nil
}

// ReadByte reads one byte.
func (l *limitedReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := l.Read(b[:])
	return b[0], err
}

// beforeRead calls wait if a message has begun to arrive and the next read may block.
func (l *limitedReader) beforeRead() error {
	if l.wait == nil || l.read == 0 || l.r.Buffered() > 0 {
		return nil
	}
	return l.wait(l.read)
}

// parse finds the lengths of gob messages in bytes that were read.
func (l *limitedReader) parse(data []byte) error {
	for len(data) > 0 {
		if l.payload > 0 {
			n := min(l.payload, len(data))
			l.payload -= n
			data = data[n:]
			continue
		}
		if err := l.parseLength(data[0]); err != nil {
			return err
		}
		data = data[1:]
	}
	return nil
}

// parseLength adds one byte to the present length, and reports the length once it is complete.
func (l *limitedReader) parseLength(b byte) error {
	switch {
	case l.lengthBytes > 0:
		l.length = l.length<<8 | uint64(b)
		l.lengthBytes--
	case b <= maxSmallLength:
		l.length = uint64(b)
	default:
		l.length, l.lengthBytes = 0, -int(int8(b))
		if l.lengthBytes > maxLengthBytes {
			return errMessageTooLong
		}
	}
	if l.lengthBytes > 0 {
		return nil
	}
	if l.length > uint64(max(0, l.left)) {
		return errMessageTooLong
	}
	l.payload = int(l.length)
	l.size += l.payload
	if l.grow == nil {
		return nil
	}
	return l.grow(l.size)
}
