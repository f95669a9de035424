package conns

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
)

// TestRepeatedAnswerToStartIsNoFailureOfTheInstance guards against unknown outcomes of first writes.
func TestRepeatedAnswerToStartIsNoFailureOfTheInstance(t *testing.T) {
	_, pool, request := newScripted(t, ready, func(n int, id, _ string) string {
		if n == 1 {
			return ready + "DONE mac-" + id + "\r\nREADY I 1.8\r\n"
		}
		return "DONE mac-" + id + "\r\nREADY I 1.8\r\n"
	})
	conn, err := pool.Get(clock.Now(), request)
	require.NoError(t, err)
	_, err = setupAndRun(conn, in(time.Second), nil, model.Query{ID: "1", Kind: model.CommandWrite, Text: "WRITE a b"})
	if err != nil {
		require.ErrorIs(t, err, model.ErrUnmatched)
	}
}

// refusingValue returns an instance that refuses the value y after it has acknowledged x once more, so late that the write is on its way.
func refusingValue(t *testing.T) (*scripted, *Conn) {
	t.Helper()
	done := "DONE -\r\nREADY I 1.7\r\n"
	instance, pool, request := newScripted(t, ready, func(_ int, id, text string) string {
		switch text {
		case "SET zone x", "SET zone y":
			return done
		case "WRITE a c":
			return "ERR BUSY no slot for the value\r\nREADY I 1.7\r\nDONE mac-" + id + "\r\nREADY I 1.8\r\n"
		default:
			return "DONE mac-" + id + "\r\nREADY I 1.7\r\n"
		}
	})
	conn, err := pool.Get(clock.Now(), request)
	require.NoError(t, err)
	_, err = setupAndRun(conn, in(time.Second), map[string]string{"zone": "x"}, model.Query{ID: "1", Kind: model.CommandWrite, Text: "WRITE a b"})
	require.NoError(t, err)
	return instance, conn
}

// TestRefusalOfAValueIsNoPromiseToTheWriteAfterIt guards against a write that is kept although its caller was promised that it is not.
func TestRefusalOfAValueIsNoPromiseToTheWriteAfterIt(t *testing.T) {
	_, conn := refusingValue(t)
	_, err := setupAndRun(conn, in(time.Second), map[string]string{"zone": "y"}, model.Query{ID: "2", Kind: model.CommandWrite, Commits: true, Text: "WRITE a c"})
	require.True(t, errors.Is(err, model.ErrNoAnswer))
}

// TestRepeatedAcknowledgementHidesARefusedValue guards against a write with other values than those of its session.
func TestRepeatedAcknowledgementHidesARefusedValue(t *testing.T) {
	instance, conn := refusingValue(t)
	_, _ = setupAndRun(conn, in(time.Second), map[string]string{"zone": "y"}, model.Query{ID: "2", Kind: model.CommandWrite, Text: "WRITE a c"})
	require.NotContains(t, instance.texts(), "WRITE a c", "it ran with zone x")
}

// TestConnectionEndsAfterARollbackThatMayBeRefused guards against a statement inside another caller's transaction: the refusal came after an earlier
// acknowledgement once more.
func TestConnectionEndsAfterARollbackThatMayBeRefused(t *testing.T) {
	begun := 0
	_, pool, request := newScripted(t, ready, func(_ int, _, text string) string {
		if text == "BEGIN" {
			begun++
			return fmt.Sprintf("DONE -\r\nREADY T 1.%d\r\n", begun)
		}
		return "DONE -\r\nREADY I 1.7\r\n"
	})
	var conns []*Conn
	for range 3 {
		conn, err := pool.Get(clock.Now(), request)
		require.NoError(t, err)
		conns = append(conns, conn)
		_, err = setupAndRun(conn, in(time.Second), nil, model.Query{ID: "1", Kind: model.CommandBegin, Text: "BEGIN"})
		require.NoError(t, err)
		_, err = setupAndRun(conn, in(time.Second), nil, model.Query{ID: "1", Kind: model.CommandRollback, Text: "ROLLBACK"})
		require.NoError(t, err)
		pool.Put(clock.Now(), conn)
	}
	require.Same(t, conns[0], conns[1], "the first acknowledgement is certain")
	require.NotSame(t, conns[1], conns[2], "the second one is the same as the first")
}

// TestExecuteSendsNothingElseAfterSetup guards against a statement that is sent long after the check of the lease.
func TestExecuteSendsNothingElseAfterSetup(t *testing.T) {
	instance, pool, request := newScripted(t, ready, func(n int, id, text string) string {
		if strings.HasPrefix(text, "EXEC") {
			return fmt.Sprintf("DONE mac-%d\r\nREADY I 1.7\r\n", n)
		}
		return "DONE -\r\nREADY I 1.7\r\n"
	})
	conn, err := pool.Get(clock.Now(), request)
	require.NoError(t, err)
	for n := range maxPrepared + 1 {
		p := model.Prepared{Shape: fmt.Sprint("q", n)}
		require.NoError(t, conn.Setup(in(time.Second), nil, &p))
		before := len(instance.texts())
		_, err := conn.Execute(in(time.Second), p, model.Query{ID: "1", Kind: model.CommandExecute, Text: "EXEC s a"}, "a")
		require.NoError(t, err)
		require.Len(t, instance.texts(), before+1, "shape %d: sent after Setup: %v", n, instance.texts()[before:])
	}
}

// TestHalfAnAnswerThatNothingAskedForEndsTheConnection guards against a statement that is sent although its answer could not be told apart.
func TestHalfAnAnswerThatNothingAskedForEndsTheConnection(t *testing.T) {
	instance, pool, request := newScripted(t, ready, func(_ int, id, _ string) string {
		return "DONE mac-" + id + "\r\nREADY I 1.7\r\n" + "DONE mac-" // The beginning of a repetition.
	})
	conn, err := pool.Get(clock.Now(), request)
	require.NoError(t, err)
	_, err = setupAndRun(conn, in(time.Second), nil, model.Query{ID: "1", Kind: model.CommandWrite, Text: "WRITE a b"})
	require.NoError(t, err)
	_, err = setupAndRun(conn, in(time.Second), nil, model.Query{ID: "2", Kind: model.CommandWrite, Text: "WRITE a c"})
	require.True(t, errors.Is(err, model.ErrNotSent))
	require.Equal(t, []string{"WRITE a b"}, instance.texts())
}

// TestSameAnswerToTheSameIDIsNoSilence guards against reads that leave a healthy instance alone: its proofs are bound to id and rows only.
func TestSameAnswerToTheSameIDIsNoSilence(t *testing.T) {
	_, pool, request := newScripted(t, ready, func(n int, id, _ string) string {
		return "ROW x\r\nDONE mac-" + id + "\r\nREADY I 1.7\r\n"
	})
	conn, err := pool.Get(clock.Now(), request)
	require.NoError(t, err)
	for range 2 {
		_, err = setupAndRun(conn, in(300*time.Millisecond), nil, model.Query{ID: "1", Kind: model.CommandRead, Text: "READ a"})
	}
	if err != nil {
		require.True(t, errors.Is(err, model.ErrUnmatched), "it counts as a failure of the instance")
	}
}

// TestRepeatedValueBeforeTheAnswerOfAWrite guards against an unknown outcome of a write that was answered.
func TestRepeatedValueBeforeTheAnswerOfAWrite(t *testing.T) {
	done := "DONE -\r\nREADY I 1.7\r\n"
	_, pool, request := newScripted(t, ready, func(n int, id, text string) string {
		if strings.HasPrefix(text, "SET") {
			return done
		}
		return done + "DONE mac-" + id + "\r\nREADY I 1.8\r\n"
	})
	conn, err := pool.Get(clock.Now(), request)
	require.NoError(t, err)
	reply, err := setupAndRun(conn, in(time.Second), map[string]string{"zone": "x"}, model.Query{ID: "1", Kind: model.CommandWrite, Text: "WRITE a b"})
	require.NoError(t, err, "the outcome of a write that was answered is unknown")
	require.Equal(t, "mac-1", reply.Proof)
}

// TestFloodOfRepetitionsEndsAtTheDeadline guards against a statement that is held beyond its deadline.
func TestFloodOfRepetitionsEndsAtTheDeadline(t *testing.T) {
	flood := strings.Repeat("DONE mac-1\r\nREADY I 1.7\r\n", 200000)
	_, pool, request := newScripted(t, ready, func(_ int, _, _ string) string { return flood })
	conn, err := pool.Get(clock.Now(), request)
	require.NoError(t, err)
	_, err = setupAndRun(conn, in(time.Second), nil, model.Query{ID: "1", Kind: model.CommandRead, Text: "READ a"})
	require.NoError(t, err)
	startedAt := time.Now()
	_, _ = setupAndRun(conn, in(20*time.Millisecond), nil, model.Query{ID: "2", Kind: model.CommandRead, Text: "READ a"})
	require.Less(t, time.Since(startedAt), 60*time.Millisecond, "200,000 repetitions")
}

// TestRepetitionBetweenTheAnswersOfTheSetup guards against a write with other values than those of its session: the second of two was refused.
func TestRepetitionBetweenTheAnswersOfTheSetup(t *testing.T) {
	done := "DONE -\r\nREADY I 1.7\r\n"
	instance, pool, request := newScripted(t, ready, func(n int, id, text string) string {
		switch n {
		case 1:
			return done
		case 2: // The first answer once more.
			return done
		default: // The second value's own answer, then that of the write.
			return "ERR FAILED no such value\r\nREADY I 1.7\r\nDONE mac-" + id + "\r\nREADY I 1.8\r\n"
		}
	})
	conn, err := pool.Get(clock.Now(), request)
	require.NoError(t, err)
	_, _ = setupAndRun(conn, in(time.Second), map[string]string{"a": "1", "b": "2"}, model.Query{ID: "1", Kind: model.CommandWrite, Text: "WRITE a b"})
	require.NotContains(t, instance.texts(), "WRITE a b", "on a fresh connection, with a value that was refused")
}

// TestRepeatedAnswerToStartBeforeTheFirstStatementIsNoFailure guards against waits, and failures of instances, because START was answered twice at once.
func TestRepeatedAnswerToStartBeforeTheFirstStatementIsNoFailure(t *testing.T) {
	_, pool, request := newScripted(t, ready+ready, func(_ int, id, _ string) string {
		return "DONE mac-" + id + "\r\nREADY I 1.8\r\n"
	})
	conn, err := pool.Get(clock.Now(), request)
	require.NoError(t, err)
	startedAt := clock.Now()
	_, err = setupAndRun(conn, in(time.Second), nil, model.Query{ID: "1", Kind: model.CommandWrite, Text: "WRITE a b"})
	require.NoError(t, err)
	require.Less(t, clock.Now().Sub(startedAt), arrivedTimeout)
}

// TestRefusalOfAValueGivesNoPositionToTheReadAfterIt guards against stale reads: the instance wrote the position before the read was sent.
func TestRefusalOfAValueGivesNoPositionToTheReadAfterIt(t *testing.T) {
	_, conn := refusingValue(t)
	reply, err := setupAndRun(conn, in(time.Second), map[string]string{"zone": "y"}, model.Query{ID: "2", Kind: model.CommandRead, Text: "WRITE a c"})
	require.NoError(t, err)
	require.Equal(t, model.FaultBusy, reply.Fault)
	require.Zero(t, reply.Mark)
}
