package remote

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/memory"
)

// answerTimeout bounds the write of an answer, since a VM may not read it.
const answerTimeout = 5 * time.Second

// next waits for the next request for which there is memory, and refuses those for which there is none.
func (s *session) next() (Request, error) {
	for {
		r, err := s.receive()
		if !errors.Is(err, memory.ErrNoRoom) {
			return r, err
		}
		if err := s.refuse(); err != nil {
			return Request{}, err
		}
	}
}

// receive waits for the next request. A request that has begun to arrive must be complete in time.
func (s *session) receive() (Request, error) {
	var r Request
	err := s.stream.receive(&r, maxRequestBytes)
	if s.arrival.Begun() {
		if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
			s.config.Counts.Add(memory.KindSlowMessage)
		}
		s.arrival = memory.Arrival{}
		if err == nil {
			err = s.stream.conn.SetReadDeadline(time.Time{})
		}
	}
	r.Query.Room = s.answerRoom
	if err == nil {
		s.sequence = r.Sequence
	}
	return r, err
}

// refuse skips a request for which there is no memory, and answers that nothing was sent. The decoder has read only the length of the request, but the
// requests of a stream are numbered without gaps.
func (s *session) refuse() error {
	s.sequence++
	if err := s.stream.in.skip(); err != nil {
		return err
	}
	s.arrival = memory.Arrival{}
	if err := s.stream.conn.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	return s.send(Answer{Failure: FailureBusy, Detail: memory.ErrNoRoom.Error(), To: s.sequence})
}

// grow reserves memory for a request of size bytes.
func (s *session) grow(_ time.Time, size int) error {
	now := time.Now()
	return s.room.Grow(now, now.Add(memory.PeerRoomTimeout), size)
}

// growAnswer reserves memory for an answer of size bytes, and waits for it until a time at most.
func (s *session) growAnswer(until time.Time, size int) error {
	return s.room.Grow(time.Now(), until, size)
}

// await bounds the time for the rest of a request of which size bytes have arrived.
func (s *session) await(size int) error {
	s.arrival.Add(time.Now(), size)
	return s.stream.conn.SetReadDeadline(s.arrival.Deadline())
}

// send sends an answer. The memory of a large message stays reserved, since the encoder and the decoder keep its buffers.
func (s *session) send(answer Answer) error {
	if err := s.stream.conn.SetWriteDeadline(time.Now().Add(answerTimeout)); err != nil {
		return err
	}
	err := s.stream.send(answer)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		s.config.Counts.Add(memory.KindSlowReader)
	}
	if !s.stream.large {
		s.room.Release()
	}
	return err
}
