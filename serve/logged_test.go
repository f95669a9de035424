package serve

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/conns"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/platform"
	"github.com/crocusshore/crocusshore/state"
)

var errCutOff = errors.New("the answer was cut off")

// unansweredConn is a connection whose instance answers BEGIN, and fails every other query with err.
type unansweredConn struct {
	model.PooledConn
	err error
}

func (*unansweredConn) Setup(time.Time, map[string]string, *model.Prepared) error { return nil }

func (c *unansweredConn) Run(_ time.Time, q model.Query) (model.Reply, error) {
	if q.Kind == model.CommandBegin {
		return model.Reply{State: model.TxOpen}, nil
	}
	return model.Reply{}, c.err
}

func (*unansweredConn) Owner() string { return "" }
func (*unansweredConn) Broken() bool  { return true }
func (*unansweredConn) Break()        {}

// unansweredSource provides connections that fail, or none if refused is set.
type unansweredSource struct{ err, refused error }

func (s unansweredSource) Get(time.Time, conns.Request) (model.PooledConn, error) {
	if s.refused != nil {
		return nil, s.refused
	}
	return &unansweredConn{err: s.err}, nil
}

func (unansweredSource) Put(time.Time, model.PooledConn) {}

// scriptedCaller is a caller that sends one message, whose reading ends with err if that is set, and then leaves.
type scriptedCaller struct {
	model.CallerConn
	hello    error
	command  model.Command
	err      error
	messages int
	answers  []model.Reply
}

func (c *scriptedCaller) Hello(time.Time) (model.Hello, error) {
	return model.Hello{Database: "quote", Key: "key"}, c.hello
}

func (c *scriptedCaller) Next(time.Time) (model.Command, error) {
	c.messages++
	if c.messages > 1 {
		return model.Command{Kind: model.CommandQuit}, nil
	}
	return c.command, c.err
}

func (c *scriptedCaller) Answer(reply model.Reply) error {
	c.answers = append(c.answers, reply)
	return nil
}

func (*scriptedCaller) Arrived() bool                    { return false }
func (*scriptedCaller) Accept() error                    { return nil }
func (*scriptedCaller) Reject(model.Fault, string) error { return nil }
func (*scriptedCaller) Close()                           {}

// newLoggedSession returns a session on a VM with a lease whose instance fails as the source tells, and what is logged.
func newLoggedSession(t *testing.T, source Source) (*callerSession, *bytes.Buffer) {
	t.Helper()
	c, cache := newSessionWithoutLease(&countingLimiter{}, 50*time.Millisecond)
	registration, err := state.VM{Name: "vm", Boot: "boot"}.Row()
	require.NoError(t, err)
	record, err := state.PrimaryRecord{Group: "g", Term: 1, Primary: "p"}.Row()
	require.NoError(t, err)
	registration.Version, record.Version = 1, 1
	require.NoError(t, cache.ApplyRows(1, true, []model.StoredRow{registration, record}, clock.Now()))
	var out bytes.Buffer
	c.server.config.Log = log.NewWithOptions(&out, log.Options{Formatter: log.LogfmtFormatter})
	c.server.config.Source = source
	c.server.config.Formatter = platform.StatementFormatter{}
	return c, &out
}

// linesOf returns the log lines with a message.
func linesOf(out *bytes.Buffer, message string) []string {
	var lines []string
	for line := range strings.Lines(out.String()) {
		if strings.Contains(line, `msg=`+message+" ") {
			lines = append(lines, line)
		}
	}
	return lines
}

// TestUnansweredStatementIsLoggedWithItsError guards against an unknown outcome of which the log does not tell why it is unknown.
func TestUnansweredStatementIsLoggedWithItsError(t *testing.T) {
	for _, kind := range []model.CommandKind{model.CommandRead, model.CommandWrite} {
		c, out := newLoggedSession(t, unansweredSource{err: errors.Mark(errCutOff, model.ErrNoAnswer)})
		reply, _ := c.handle(model.Command{ID: "q1", Kind: kind, Text: "item"})
		require.NotEmpty(t, reply.Fault)
		lines := linesOf(out, "statement")
		require.Len(t, lines, 1, "one line a decision")
		require.Contains(t, lines[0], "id=q1 ")
		require.Contains(t, lines[0], `error="the answer was cut off"`)
	}
	for _, kind := range []model.CommandKind{model.CommandRead, model.CommandWrite, model.CommandCommit} {
		c, out := newLoggedSession(t, unansweredSource{err: errors.Mark(errCutOff, model.ErrNoAnswer)})
		reply, _ := c.handle(model.Command{ID: "q1", Kind: model.CommandBegin})
		require.Empty(t, reply.Fault)
		reply, _ = c.handle(model.Command{ID: "q2", Kind: kind, Text: "item"})
		require.NotEmpty(t, reply.Fault)
		lines := linesOf(out, "statement")
		require.Len(t, lines, 1)
		require.Contains(t, lines[0], "id=q2 ")
		require.Contains(t, lines[0], `error="the answer was cut off"`)
	}
}

// TestStatementWithoutAConnectionIsLoggedWithItsError guards against refusals of which the log does not tell why there was no connection.
func TestStatementWithoutAConnectionIsLoggedWithItsError(t *testing.T) {
	c, out := newLoggedSession(t, unansweredSource{refused: errors.New("no route to host")})
	reply, _ := c.handle(model.Command{ID: "q1", Kind: model.CommandWrite, Text: "item"})
	require.Equal(t, model.FaultBusy, reply.Fault)
	require.Contains(t, linesOf(out, "statement")[0], "error=")
	c.report(operation{}, model.Command{ID: "q2"}, "", model.Reply{}, 1)
	require.NotContains(t, linesOf(out, "statement")[1], "error=", "an error belongs to one line")
}

// TestRefusedMessageIsLoggedWithItsReason guards against BADMSG answers of which the log does not tell why, or not at all.
func TestRefusedMessageIsLoggedWithItsReason(t *testing.T) {
	for name, c := range map[string]struct {
		caller *scriptedCaller
		want   string
	}{
		"cannot be read":       {&scriptedCaller{err: errors.Mark(errors.New("it is too long"), model.ErrBadMessage)}, `error="it is too long"`},
		"is no statement":      {&scriptedCaller{command: model.Command{ID: "q1", Kind: model.CommandInvalid}}, "id=q1"},
		"is not for the state": {&scriptedCaller{command: model.Command{ID: "q1", Kind: model.CommandCommit}}, `detail="no transaction is open"`},
	} {
		t.Run(name, func(t *testing.T) {
			session, out := newLoggedSession(t, unansweredSource{})
			session.conn = c.caller
			session.run()
			require.Equal(t, model.FaultBadMessage, c.caller.answers[0].Fault)
			lines := linesOf(out, `"message refused"`)
			require.Len(t, lines, 1)
			require.Contains(t, lines[0], c.want)
		})
	}
}

// TestRefusedFirstMessageIsLoggedWithoutItsText guards against the key of a caller in the log: a message that is not split as expected holds it in
// its first word.
func TestRefusedFirstMessageIsLoggedWithoutItsText(t *testing.T) {
	session, out := newLoggedSession(t, unansweredSource{})
	session.conn = &scriptedCaller{hello: errors.Mark(errors.Newf("the first message is %q", "START\tquote\tsecret-key"), model.ErrBadMessage)}
	session.server.config.Log.SetLevel(log.DebugLevel)
	session.run()
	require.Contains(t, out.String(), "level=info")
	require.Contains(t, out.String(), "the first message is")
	require.NotContains(t, out.String(), "secret-key")
}
