package remote

import (
	"encoding/gob"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/conns"
	"github.com/crocusshore/crocusshore/model"
)

// startScriptedOwner starts a VM that calls serve for each request of a stream, and returns its address.
func startScriptedOwner(t *testing.T, serve func(r Request, out *gob.Encoder, conn net.Conn)) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				in, out := gob.NewDecoder(conn), gob.NewEncoder(conn)
				for {
					var r Request
					if in.Decode(&r) != nil {
						return
					}
					serve(r, out, conn)
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// answerTo returns an answer from which the request can be told.
func answerTo(r Request) Answer {
	return Answer{To: r.Sequence, Reply: model.Reply{Proof: "p", Rows: []string{string(r.Query.ID)}, State: model.TxOpen}}
}

// requireOwnAnswers runs statements as those of one transaction, and on streams that are put back; each may fail, but none may get the answer to
// another one. It returns how many were answered.
func requireOwnAnswers(t *testing.T, owner netip.AddrPort, pause time.Duration) (answered int) {
	t.Helper()
	source := newSource(owner)
	for _, id := range []model.RequestID{"a", "b", "c", "d", "e", "f"} {
		c := get(t, source, time.Second)
		for _, step := range []model.RequestID{"1", "2", "3"} {
			reply, err := c.Run(clock.Now().Add(200*time.Millisecond), model.Query{ID: id + step, Text: "READ item"})
			if err != nil {
				requireIs(t, err, model.ErrNoAnswer)
				require.True(t, c.Broken())
				break
			}
			answered++
			require.Equal(t, []string{string(id + step)}, reply.Rows)
			time.Sleep(pause)
		}
		source.Put(clock.Now(), c)
		source.config.Client.unreachableUntil = map[netip.AddrPort]time.Time{}
	}
	return answered
}

// TestAnswerOfAnOwnerIsForOneRequest guards against an answer that comes twice, or that nobody asked for, and is taken for that to a later request.
func TestAnswerOfAnOwnerIsForOneRequest(t *testing.T) {
	for name, serve := range map[string]func(r Request, out *gob.Encoder, conn net.Conn){
		"twice": func(r Request, out *gob.Encoder, _ net.Conn) {
			_ = out.Encode(answerTo(r))
			_ = out.Encode(answerTo(r))
		},
		"the one before again": func(r Request, out *gob.Encoder, _ net.Conn) {
			if r.Sequence > 1 {
				_ = out.Encode(Answer{To: r.Sequence - 1, Reply: model.Reply{Proof: "p", Rows: []string{"old"}}})
			}
			_ = out.Encode(answerTo(r))
		},
		"something unasked": func(r Request, out *gob.Encoder, _ net.Conn) {
			_ = out.Encode(answerTo(r))
			_ = out.Encode(Answer{Reply: model.Reply{Proof: "p", Rows: []string{"unasked"}}})
		},
	} {
		for _, pause := range []time.Duration{0, 5 * time.Millisecond} {
			t.Run(name, func(t *testing.T) {
				require.Positive(t, requireOwnAnswers(t, startScriptedOwner(t, serve), pause))
			})
		}
	}
}

// TestAnswersOfAnOlderProgramCount guards against unknown outcomes while VMs are updated one after the other: the older program names no request.
func TestAnswersOfAnOlderProgramCount(t *testing.T) {
	owner := startScriptedOwner(t, func(r Request, out *gob.Encoder, _ net.Conn) {
		answer := answerTo(r)
		answer.To = 0
		_ = out.Encode(answer)
	})
	source := newSource(owner)
	for range 3 {
		c := get(t, source, time.Second)
		_, err := c.Run(inOneSecond(), model.Query{ID: "q", Kind: model.CommandRead, Text: "READ item"})
		require.NoError(t, err)
		source.Put(clock.Now(), c)
	}
}

// TestStreamOfARequestThatWasGivenUpIsNotUsed guards against a late answer that a later request gets.
func TestStreamOfARequestThatWasGivenUpIsNotUsed(t *testing.T) {
	owner := startScriptedOwner(t, func(r Request, out *gob.Encoder, _ net.Conn) {
		if r.Query.ID == "late" {
			time.Sleep(100 * time.Millisecond)
		}
		_ = out.Encode(answerTo(r))
	})
	source := newSource(owner)
	for range 5 {
		c := get(t, source, time.Second)
		_, err := c.Run(clock.Now().Add(30*time.Millisecond), model.Query{ID: "late"})
		requireIs(t, err, model.ErrNoAnswer)
		source.Put(clock.Now(), c)
		require.Empty(t, source.config.Client.idle[owner])
		source.config.Client.unreachableUntil = map[netip.AddrPort]time.Time{}
		c = get(t, source, time.Second)
		reply, err := c.Run(inOneSecond(), model.Query{ID: "q"})
		require.NoError(t, err)
		require.Equal(t, []string{"q"}, reply.Rows)
		time.Sleep(20 * time.Millisecond)
	}
}

// TestAnswerThatCannotBeReadBreaksTheStream guards against data of another type or size that is taken for an answer, or kept in memory without limit.
func TestAnswerThatCannotBeReadBreaksTheStream(t *testing.T) {
	for name, serve := range map[string]func(r Request, out *gob.Encoder, conn net.Conn){
		"another type": func(_ Request, out *gob.Encoder, _ net.Conn) { _ = out.Encode("done") },
		"a struct without the fields": func(_ Request, out *gob.Encoder, _ net.Conn) {
			_ = out.Encode(struct{ Verdict string }{"done"})
		},
		"a request": func(r Request, out *gob.Encoder, _ net.Conn) { _ = out.Encode(r) },
		"no gob":    func(_ Request, _ *gob.Encoder, conn net.Conn) { _, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\n")) },
		"a huge message": func(_ Request, _ *gob.Encoder, conn net.Conn) {
			_, _ = conn.Write([]byte{0xfc, 0x10, 0, 0, 0}) // A message of 256 MiB, in the encoding of gob.
			piece := make([]byte, 1<<20)
			for range 256 {
				if _, err := conn.Write(piece); err != nil {
					return
				}
			}
		},
		"an end in the middle": func(_ Request, _ *gob.Encoder, conn net.Conn) {
			_, _ = conn.Write([]byte{0x20, 1, 2})
			_ = conn.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			source := newSource(startScriptedOwner(t, serve))
			c := get(t, source, time.Second)
			_, err := c.Run(clock.Now().Add(5*time.Second), model.Query{ID: "q"})
			requireIs(t, err, model.ErrNoAnswer)
			require.True(t, c.Broken())
			require.Equal(t, name == "a huge message", errors.Is(err, errMessageTooLong), "%v", err)
		})
	}
}

// sendRaw sends requests on a stream of their own and returns it.
func sendRaw(t *testing.T, owner *testOwner, requests ...Request) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", owner.address.String())
	require.NoError(t, err)
	out := gob.NewEncoder(conn)
	for i, r := range requests {
		r.Sequence, r.Instance, r.Team, r.Term, r.Wait, r.Limit = uint64(i+1), "i-1", teamName, 1, time.Second, time.Second
		require.NoError(t, out.Encode(r))
	}
	return conn
}

// TestRequestWhoseAskerHasGoneIsNotRun guards against statements that run although nobody waits for them: the owner had no free connection until
// after the asker had left.
func TestRequestWhoseAskerHasGoneIsNotRun(t *testing.T) {
	owner, source := newTestOwner(t, 1)
	c := get(t, source, time.Second)
	_, err := c.Run(inOneSecond(), model.Query{ID: "b", Kind: model.CommandBegin, Text: "BEGIN"})
	require.NoError(t, err)
	conn := sendRaw(t, owner, Request{Query: model.Query{ID: "gone", Kind: model.CommandWrite, Text: "WRITE item gone"}})
	time.Sleep(50 * time.Millisecond)
	require.NoError(t, conn.Close())
	time.Sleep(50 * time.Millisecond)
	_, err = c.Run(inOneSecond(), model.Query{ID: "r", Kind: model.CommandRollback, Text: "ROLLBACK"})
	require.NoError(t, err)
	reply, err := get(t, source, time.Second).Run(inOneSecond(), model.Query{ID: "q", Kind: model.CommandRead, Text: "READ item"})
	require.NoError(t, err, "the connection is free")
	require.NotContains(t, reply.Rows, "gone")
	require.Never(t, func() bool { return owner.cluster.CommitCount("gone") > 0 }, 100*time.Millisecond, 10*time.Millisecond)
}

// TestConnectionOfAnAskerThatLeftIsClean guards against a connection to an instance that is used again with an open transaction, or with an answer
// to come.
func TestConnectionOfAnAskerThatLeftIsClean(t *testing.T) {
	owner, source := newTestOwner(t, 1)
	for n, left := range [][]Request{
		{{Query: model.Query{ID: "b", Kind: model.CommandBegin, Text: "BEGIN"}}},
		{{Query: model.Query{ID: "b", Kind: model.CommandBegin, Text: "BEGIN"}}, {Query: model.Query{ID: "w", Kind: model.CommandWrite, Text: "WRITE item left"}}},
		{{Query: model.Query{ID: "r", Kind: model.CommandRead, Text: "READ item"}}},
	} {
		require.NoError(t, sendRaw(t, owner, left...).Close())
		require.Eventually(t, func() bool { used, _ := owner.pool.InUse("i-1"); return used == 0 }, time.Second, time.Millisecond)
		now := clock.Now()
		c, err := source.Get(now, conns.Request{Instance: model.Instance{Name: "i-1"}, Team: teamName, Deadline: now.Add(time.Second), Term: 1})
		require.NoError(t, err)
		reply, err := c.Run(inOneSecond(), model.Query{ID: model.RequestID(fmt.Sprint("q", n)), Kind: model.CommandRead, Text: "READ item"})
		require.NoError(t, err)
		require.Equal(t, model.TxNone, reply.State)
		require.NotContains(t, reply.Rows, "left")
		source.Put(clock.Now(), c)
	}
}
