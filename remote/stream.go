package remote

import (
	"bufio"
	"encoding/gob"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

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
	dec  *gob.Decoder
	enc  *gob.Encoder
	// sequence is the number of the last request that was sent.
	sequence uint64
	// numbered is set once an answer has named its request, as those of an older program do not.
	numbered bool
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
	s := &stream{conn: conn, raw: raw, in: &limitedReader{r: bufio.NewReader(conn)}, out: bufio.NewWriter(conn)}
	s.dec, s.enc = gob.NewDecoder(s.in), gob.NewEncoder(s.out)
	return s, nil
}

func (s *stream) send(message any) error {
	if err := s.enc.Encode(message); err != nil {
		return err
	}
	return s.out.Flush()
}

// receive waits for the next message, which is not longer than maxMessageBytes.
func (s *stream) receive(message any) error {
	s.in.left = maxMessageBytes
	return s.dec.Decode(message)
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
