package remote

import (
	"bufio"
	"encoding/gob"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/memory"
	"github.com/crocusshore/crocusshore/sock"
)

// keepAlive ends streams to VMs that became unreachable, so that the connections that such a stream keeps are soon free again.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// stream carries requests and answers alternately over one TCP connection.
type stream struct {
	conn net.Conn
	raw  syscall.RawConn
	in   *limitedReader
	out  *bufio.Writer
	// counted is what out writes to.
	counted *countedWriter
	dec     *gob.Decoder
	enc     *gob.Encoder
	// sequence is the number of the last request that was sent.
	sequence uint64
	// numbered is set once an answer has named its request, as those of an older program do not.
	numbered bool
	// large is set once a message had more than memory.MediumBytes. Such a stream is not reused, since the encoder and the decoder keep their buffers.
	large bool
	// room, if set, reserves memory for the present message, and waits for it until a time at most.
	room  func(until time.Time, size int) error
	until time.Time
}

// countedWriter counts what is written to a connection.
type countedWriter struct {
	net.Conn
	written int
}

// Write writes to the connection and counts the bytes.
func (c *countedWriter) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written += n
	return n, err
}

func newStream(conn net.Conn) (*stream, error) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, errors.New("the connection is not TCP")
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	if err := tcp.SetKeepAliveConfig(keepAlive); err != nil {
		return nil, err
	}
	out := &countedWriter{Conn: conn}
	s := &stream{conn: conn, raw: raw, in: &limitedReader{r: bufio.NewReader(conn)}, out: bufio.NewWriter(out), counted: out}
	s.in.grow = s.grow
	s.dec, s.enc = gob.NewDecoder(s.in), gob.NewEncoder(s.out)
	return s, nil
}

func (s *stream) send(message any) error {
	s.counted.written = 0
	if err := s.enc.Encode(message); err != nil {
		return err
	}
	err := s.out.Flush()
	s.large = s.large || s.counted.written > memory.MediumBytes
	return err
}

// receive waits for the next message, which has at most longest bytes.
func (s *stream) receive(message any, longest int) error {
	s.in.begin(longest)
	return s.dec.Decode(message)
}

// grow reserves memory for a message of size bytes.
func (s *stream) grow(size int) error {
	s.large = s.large || size > memory.MediumBytes
	if s.room == nil {
		return nil
	}
	return s.room(s.until, size)
}

// idle reports whether the stream is open and nothing waits to be read.
func (s *stream) idle() bool { return s.in.r.Buffered() == 0 && sock.Idle(s.raw) }

// check returns an error unless an answer is that to the last request.
func (s *stream) check(answer Answer) error {
	if answer.To == 0 && !s.numbered {
		return nil
	}
	s.numbered = true
	if answer.To != s.sequence {
		return errors.Newf("the answer to request %d of the stream came instead of that to request %d", answer.To, s.sequence)
	}
	return nil
}
