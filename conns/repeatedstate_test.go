package conns

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
)

// TestRepeatedStateBeforeARefusalIsNotTakenForThePresentOne guards against a sample of an old log position: the own answer is that the instance is full.
func TestRepeatedStateBeforeARefusalIsNotTakenForThePresentOne(t *testing.T) {
	old := "ROW primary 1 1.7 1 0 0 1\r\nDONE -\r\nREADY I 1.7\r\n"
	_, pool, request := newScripted(t, ready, func(n int, _, _ string) string {
		switch n {
		case 1:
			return old
		case 2: // The log is at 1.9 by now; the own answer is slow.
			return old
		default: // The own answer to STATUS, then that to RESET.
			return "ERR BUSY no slot\r\nREADY I 1.9\r\nDONE -\r\nREADY I 1.9\r\n"
		}
	})
	request.AnyTeam = true
	conn, err := pool.Get(clock.Now(), request)
	require.NoError(t, err)
	_, err = conn.Status(in(time.Second))
	require.NoError(t, err)
	state, err := conn.Status(in(time.Second))
	require.Error(t, err, "a state of before was taken for the present one: %+v", state)
}

// TestSameStateAsBeforeIsNotTakenForThePresentOne guards against a sample of an old log position: an idle instance answers each question alike.
func TestSameStateAsBeforeIsNotTakenForThePresentOne(t *testing.T) {
	_, pool, request := newScripted(t, ready, func(int, string, string) string {
		return "ROW primary 1 1.7 1 0 0 1\r\nDONE -\r\nREADY I 1.7\r\n"
	})
	request.AnyTeam = true
	conn, err := pool.Get(clock.Now(), request)
	require.NoError(t, err)
	_, err = conn.Status(in(time.Second))
	require.NoError(t, err)
	pool.Put(clock.Now(), conn)
	again, err := pool.Get(clock.Now(), request)
	require.NoError(t, err)
	require.Same(t, conn, again)
	_, err = again.Status(in(time.Second))
	require.ErrorIs(t, err, model.ErrUnmatched)
	pool.Put(clock.Now(), again)
	request.New = true
	unused, err := pool.Get(clock.Now(), request)
	require.NoError(t, err)
	require.NotSame(t, conn, unused)
	_, err = unused.Status(in(time.Second))
	require.NoError(t, err)
}

// TestRepeatedRowIsNotTakenForAState guards against a log position that a caller made up: its row reads like a state.
func TestRepeatedRowIsNotTakenForAState(t *testing.T) {
	row := "ROW primary 1 1.1 1 0 0 1\r\nDONE mac-1\r\nREADY I 1.7\r\n"
	_, pool, request := newScripted(t, ready, func(n int, _, _ string) string {
		if n == 1 {
			return row
		}
		return row + "ROW primary 1 1.9 1 0 0 1\r\nDONE -\r\nREADY I 1.9\r\n"
	})
	conn, err := pool.Get(clock.Now(), request)
	require.NoError(t, err)
	_, err = setupAndRun(conn, in(time.Second), nil, model.Query{ID: "1", Kind: model.CommandRead, Text: "READ a"})
	require.NoError(t, err)
	pool.Put(clock.Now(), conn)
	request.AnyTeam = true
	conn, err = pool.Get(clock.Now(), request)
	require.NoError(t, err)
	state, err := conn.Status(in(time.Second))
	if err == nil {
		require.Equal(t, model.Position(9), state.Received.Position, "a caller's row was taken for the state of the instance")
	}
}

// TestRepetitionBeforeAStateIsNoFailureOfTheInstance guards against reads that leave an instance alone because it answers twice.
func TestRepetitionBeforeAStateIsNoFailureOfTheInstance(t *testing.T) {
	for name, answer := range map[string]string{
		"read": "ROW abc\r\nDONE mac-1\r\nREADY I 1.7\r\n",
		"set":  "DONE -\r\nREADY I 1.7\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, pool, request := newScripted(t, ready, func(n int, _, _ string) string {
				if n == 1 {
					return answer
				}
				return answer + "ROW primary 1 1.9 1 0 0 1\r\nDONE -\r\nREADY I 1.9\r\n"
			})
			conn, err := pool.Get(clock.Now(), request)
			require.NoError(t, err)
			if name == "read" {
				_, err = setupAndRun(conn, in(time.Second), nil, model.Query{ID: "1", Kind: model.CommandRead, Text: "READ a"})
			} else {
				err = conn.Setup(in(time.Second), map[string]string{"zone": "x"}, nil)
			}
			require.NoError(t, err)
			_, err = conn.Status(in(time.Second))
			if err != nil {
				require.ErrorIs(t, err, model.ErrUnmatched)
			}
		})
	}
}

// TestRepeatedStateIsDroppedLikeOtherRepetitions guards against transactions that are aborted for an answer that nothing asked for.
func TestRepeatedStateIsDroppedLikeOtherRepetitions(t *testing.T) {
	state := "ROW primary 1 1.7 1 0 0 1\r\nDONE -\r\nREADY I 1.7\r\n"
	_, pool, request := newScripted(t, ready, func(n int, id, text string) string {
		switch text {
		case "STATUS":
			return state
		case "BEGIN":
			return "DONE -\r\nREADY T 1.7\r\n" + state
		default:
			return "DONE mac-" + id + "\r\nREADY T 1.7\r\n"
		}
	})
	conn, err := pool.Get(clock.Now(), request)
	require.NoError(t, err)
	_, err = conn.Status(in(time.Second))
	require.NoError(t, err)
	_, err = setupAndRun(conn, in(time.Second), nil, model.Query{ID: "1", Kind: model.CommandBegin, Text: "BEGIN"})
	require.NoError(t, err)
	_, err = setupAndRun(conn, in(time.Second), nil, model.Query{ID: "2", Kind: model.CommandRead, Text: "READ a"})
	require.NoError(t, err, "the transaction is aborted")
}
