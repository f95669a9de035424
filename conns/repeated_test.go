package conns

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/platform"
	"github.com/crocusshore/crocusshore/tree"
)

// repeatingInstance is an instance that sends each answer once more right before the following one, as late as can be.
type repeatingInstance struct {
	address netip.AddrPort
	// answer returns the end of the answer to a statement, without READY, and the state after it.
	answer func(id, text string) (end, state string)

	mu  sync.Mutex
	ran []string
}

func newRepeatingInstance(t *testing.T, answer func(id, text string) (end, state string)) *repeatingInstance {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	i := &repeatingInstance{address: netip.MustParseAddrPort(listener.Addr().String()), answer: answer}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go i.serve(conn)
		}
	}()
	return i
}

func (i *repeatingInstance) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	earlier, answer := "", "READY I -\r\n"
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		if words := strings.SplitN(strings.TrimSuffix(line, "\r\n"), " ", 3); words[0] == "QUERY" {
			i.mu.Lock()
			i.ran = append(i.ran, words[2])
			i.mu.Unlock()
			end, state := i.answer(words[1], words[2])
			answer = end + "\r\nREADY " + state + " 1.7\r\n"
		}
		if _, err := conn.Write([]byte(earlier + answer)); err != nil {
			return
		}
		if strings.HasPrefix(line, "QUERY") {
			earlier = answer
		}
	}
}

func (i *repeatingInstance) texts() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]string(nil), i.ran...)
}

// pool returns a pool with one connection to the instance, and the request for it.
func (i *repeatingInstance) pool() (*Pool, Request) {
	to := model.Instance{Name: "i", Group: "g", Address: i.address, Slots: 3}
	pool := New(Config{Dialer: platform.Dialer{}, Formatter: platform.StatementFormatter{}, Budget: func(model.Instance) int { return 1 }})
	return pool, Request{Instance: to, Team: "a", Class: tree.ClassNormal, Deadline: clock.Now().Add(5 * time.Second)}
}

// TestRepeatedAnswerIsNotTakenForThatOfTheNextStatement guards against callers that get the rows, the success or the promise of an earlier statement
// because the instance answered that one twice, the second time while another statement was under way.
func TestRepeatedAnswerIsNotTakenForThatOfTheNextStatement(t *testing.T) {
	instance := newRepeatingInstance(t, func(id, text string) (end, state string) {
		switch {
		case strings.HasPrefix(id, "busy"):
			return "ERR BUSY no slot", "I"
		case text == "BEGIN":
			return "DONE -", "T"
		case strings.HasPrefix(id, "inside"):
			return "ROW row of " + id + "\r\nDONE mac-" + id, "T"
		case id == "-", text == "ROLLBACK":
			return "DONE -", "I"
		default:
			return "ROW row of " + id + "\r\nDONE mac-" + id, "I"
		}
	})
	statements := []struct {
		id     string
		kind   model.CommandKind
		text   string
		values map[string]string
	}{
		{"1", model.CommandRead, "READ a", nil},
		{"2", model.CommandRead, "READ a", nil},
		{"3", model.CommandWrite, "WRITE a b", map[string]string{"zone": "x"}},
		{"4", model.CommandRead, "READ a", map[string]string{"zone": "y"}},
		{"busy1", model.CommandWrite, "WRITE a c", nil},
		{"5", model.CommandWrite, "WRITE a d", nil},
		{"busy2", model.CommandRead, "READ a", nil},
		{"6", model.CommandRead, "READ a", nil},
		{"7", model.CommandBegin, "BEGIN", nil},
		{"inside8", model.CommandRead, "READ a", nil},
		{"inside9", model.CommandWrite, "WRITE a e", nil},
		{"10", model.CommandCommit, "COMMIT", nil},
		{"11", model.CommandBegin, "BEGIN", nil},
		{"inside12", model.CommandRead, "READ a", nil},
		{"13", model.CommandRollback, "ROLLBACK", nil},
		{"14", model.CommandWrite, "WRITE a f", nil},
	}
	pool, request := instance.pool()
	answered := 0
	for range 3 {
		var conn *Conn
		for _, s := range statements {
			if conn == nil {
				var err error
				conn, err = pool.Get(clock.Now(), request)
				require.NoError(t, err)
			}
			reply, err := setupAndRun(conn, clock.Now().Add(300*time.Millisecond), s.values, model.Query{ID: model.RequestID(s.id), Kind: s.kind, Text: s.text})
			if err == nil {
				answered++
				requireOwnAnswer(t, s.id, s.kind, reply)
			}
			if err != nil || reply.State == model.TxNone || conn.Broken() {
				pool.Put(clock.Now(), conn)
				conn = nil
			}
		}
	}
	require.Greater(t, answered, 3*len(statements)/2, "most statements get their answer nevertheless")
}

// requireOwnAnswer requires that an answer is the one that the instance gave to a statement.
func requireOwnAnswer(t *testing.T, id string, kind model.CommandKind, reply model.Reply) {
	t.Helper()
	if strings.HasPrefix(id, "busy") {
		require.Equal(t, model.FaultBusy, reply.Fault, id)
		return
	}
	require.Empty(t, reply.Fault, "%s was told that it did not run", id)
	switch kind {
	case model.CommandBegin:
		require.Equal(t, model.TxOpen, reply.State, id)
	case model.CommandRollback:
		require.Equal(t, model.TxNone, reply.State, id)
	default:
		require.Equal(t, "mac-"+id, reply.Proof, id)
		require.Equal(t, []string{"row of " + id}, reply.Rows, id)
	}
}

// TestRepeatedStateIsNotTakenForThePresentOne guards against samples of a log position that are older than their time: on a connection that only asks
// for the state, each answer was that to the question before.
func TestRepeatedStateIsNotTakenForThePresentOne(t *testing.T) {
	var position atomic.Int64
	instance := newRepeatingInstance(t, func(_, text string) (end, state string) {
		if text != "STATUS" {
			return "DONE -", "I"
		}
		return fmt.Sprintf("ROW primary 1 1.%d 1 0 0 1\r\nDONE -", position.Add(1)), "I"
	})
	pool, request := instance.pool()
	request.AnyTeam = true
	for range 6 {
		conn, err := pool.Get(clock.Now(), request)
		require.NoError(t, err)
		state, err := conn.Status(clock.Now().Add(300 * time.Millisecond))
		if err == nil {
			require.Equal(t, position.Load(), int64(state.Received.Position))
		}
		pool.Put(clock.Now(), conn)
	}
}

// TestStatementIsNotSentAfterARefusedValue guards against a statement that runs with other values than those of its session: the values and the
// statement were sent in one write, and the instance refused a value.
func TestStatementIsNotSentAfterARefusedValue(t *testing.T) {
	instance := newRepeatingInstance(t, func(id, text string) (end, state string) {
		if strings.HasPrefix(text, "SET") {
			return "ERR FAILED out of memory", "I"
		}
		return "DONE mac-" + id, "I"
	})
	pool, request := instance.pool()
	conn, err := pool.Get(clock.Now(), request)
	require.NoError(t, err)
	_, err = setupAndRun(conn, clock.Now().Add(time.Second), map[string]string{"zone": "x"}, model.Query{ID: "1", Kind: model.CommandWrite, Text: "WRITE a b"})
	refused, ok := model.Refused(err)
	require.True(t, ok)
	require.Equal(t, model.FaultFailed, refused.Fault)
	require.Equal(t, []string{"SET zone x"}, instance.texts())
}
