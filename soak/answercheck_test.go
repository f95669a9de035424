package soak

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
)

// TestAnswerThatIsNotThatOfItsStatementIsAViolation violates each check of an answer once.
func TestAnswerThatIsNotThatOfItsStatementIsAViolation(t *testing.T) {
	proof := func(id model.RequestID, rows ...string) string { return stand.Proof("i-1", id, rows) }
	for name, c := range map[string]struct {
		before  sessionState
		text    string
		answer  answer
		problem string
	}{
		"read":                                 {stateIdle, "READ a", answer{rows: []string{"x"}, proof: proof("q", "x"), ready: "I 1.2"}, ""},
		"read with another proof":              {stateIdle, "READ a", answer{rows: []string{"x"}, proof: proof("p", "x"), ready: "I 1.2"}, "proof"},
		"read with other rows":                 {stateIdle, "READ a", answer{rows: []string{"x "}, proof: proof("q", "x"), ready: "I 1.2"}, "proof"},
		"read with fewer rows":                 {stateIdle, "READ a", answer{proof: proof("q", "x"), ready: "I 1.2"}, "proof"},
		"read without a proof":                 {stateIdle, "READ a", answer{rows: []string{"x"}, proof: "-", ready: "I 1.2"}, "proof"},
		"write without a proof":                {stateIdle, "WRITE a b", answer{proof: "-", ready: "I 1.2"}, "proof"},
		"prepared write with another proof":    {stateIdle, "EXEC s a b", answer{proof: proof("p"), ready: "I 1.2"}, "proof"},
		"commit":                               {stateInTransaction, "COMMIT", answer{proof: proof("q"), ready: "I 1.2"}, ""},
		"commit with another proof":            {stateInTransaction, "COMMIT", answer{proof: proof("p"), ready: "I 1.2"}, "proof"},
		"commit that leaves it open":           {stateInTransaction, "COMMIT", answer{proof: proof("q"), ready: "T 1.2"}, "state"},
		"refused commit":                       {stateInTransaction, "COMMIT", answer{fault: "ABORTED", ready: "I -"}, ""},
		"set":                                  {stateIdle, "SET a b", answer{proof: "-", ready: "I -"}, ""},
		"set with the proof of the instance":   {stateIdle, "SET a b", answer{proof: proof("q"), ready: "I -"}, ""},
		"set with another proof":               {stateIdle, "SET a b", answer{proof: proof("p"), ready: "I -"}, "proof"},
		"set with rows":                        {stateIdle, "SET a b", answer{rows: []string{"x"}, proof: proof("q", "x"), ready: "I -"}, "rows"},
		"set that begins a transaction":        {stateIdle, "SET a b", answer{proof: "-", ready: "T -"}, "state"},
		"begin":                                {stateIdle, "BEGIN", answer{proof: "-", ready: "T -"}, ""},
		"begin without a transaction":          {stateIdle, "BEGIN", answer{proof: "-", ready: "I -"}, "state"},
		"refused begin":                        {stateIdle, "BEGIN", answer{fault: "BUSY", ready: "I -"}, ""},
		"refused begin with a transaction":     {stateIdle, "BEGIN", answer{fault: "BUSY", ready: "T -"}, "state"},
		"write in a transaction":               {stateInTransaction, "WRITE a b", answer{proof: proof("q"), ready: "T 1.2"}, ""},
		"write that ends a transaction":        {stateInTransaction, "WRITE a b", answer{proof: proof("q"), ready: "I 1.2"}, "state"},
		"write that fails a transaction":       {stateInTransaction, "WRITE a b", answer{fault: "BUSY", ready: "E 1.2"}, ""},
		"refused write that ends one":          {stateInTransaction, "WRITE a b", answer{fault: "BUSY", ready: "I 1.2"}, "state"},
		"write in a failed transaction":        {stateFailed, "WRITE a b", answer{proof: proof("q"), ready: "E 1.2"}, "state"},
		"refused write in a failed one":        {stateFailed, "WRITE a b", answer{fault: "BADMSG", ready: "E -"}, ""},
		"rollback of a failed transaction":     {stateFailed, "ROLLBACK", answer{proof: "-", ready: "I -"}, ""},
		"rollback that leaves it open":         {stateInTransaction, "ROLLBACK", answer{proof: "-", ready: "T -"}, "state"},
		"rollback with another's proof":        {stateInTransaction, "ROLLBACK", answer{proof: proof("p"), ready: "I -"}, "proof"},
		"fault after rows":                     {stateIdle, "READ a", answer{rows: []string{"x"}, fault: "BUSY", ready: "I -"}, "rows"},
		"no state":                             {stateIdle, "READ a", answer{fault: "BUSY", ready: "X -"}, "state"},
		"no position":                          {stateIdle, "READ a", answer{fault: "BUSY", ready: "I"}, "state"},
		"a position with more than its fields": {stateIdle, "READ a", answer{fault: "BUSY", ready: "I 3.1\nx"}, "state"},
	} {
		t.Run(name, func(t *testing.T) {
			problem := answerProblem(c.before, "q", c.text, c.answer)
			if c.problem == "" {
				require.Empty(t, problem)
				return
			}
			require.Contains(t, problem, c.problem)
		})
	}
}

// newTestCaller returns a caller with an open session, the VM's end of its connection, and a function that sends an answer to its next statement.
func newTestCaller(t *testing.T) (c *caller, toCaller io.Writer, answerNext func(text string)) {
	t.Helper()
	client, server := connect(t)
	c = &caller{
		site: &site{history: newHistory()}, name: "s", vm: &process{}, conn: client, in: newMessageReader(client), state: stateIdle,
		values: map[string]string{}, prepared: map[string]string{}, lastAcked: map[string]int{},
	}
	statements := newMessageReader(server)
	return c, server, func(text string) {
		go func() {
			if _, err := statements.next(); err == nil {
				_, _ = io.WriteString(server, text)
			}
		}()
	}
}

func requireViolation(t *testing.T, h *history, kind string) {
	t.Helper()
	require.Len(t, h.violations, 1)
	require.Equal(t, map[string]int{kind: 1}, h.kinds)
}

// TestAnswerOfAnEarlierStatementIsAViolation sends an answer that was right for the statement before.
func TestAnswerOfAnEarlierStatementIsAViolation(t *testing.T) {
	c, _, answerNext := newTestCaller(t)
	repeated := "ROW x\r\nDONE " + stand.Proof("i-1", "q1", []string{"x"}) + "\r\nREADY I 1.2\r\n"
	answerNext(repeated)
	a, err := c.queryWithID("q1", "READ a")
	require.NoError(t, err)
	require.Equal(t, []string{"x"}, a.rows)
	require.Empty(t, c.site.history.violations)
	answerNext(repeated)
	_, err = c.queryWithID("q2", "READ a")
	require.ErrorIs(t, err, errSessionEnded)
	requireViolation(t, c.site.history, "mixed")
}

// TestRowIsTakenByteForByte guards against a reader that ends a row at a line feed, or takes blanks or a CR off it.
func TestRowIsTakenByteForByte(t *testing.T) {
	const row = " \nDONE 7.inside\nREADY I 3.1\nx \r"
	c, _, answerNext := newTestCaller(t)
	answerNext("ROW " + row + "\r\nDONE " + stand.Proof("i-1", "q", []string{row}) + "\r\nREADY I 1.2\r\n")
	a, err := c.queryWithID("q", "READ a")
	require.NoError(t, err)
	require.Equal(t, []string{row}, a.rows)
	require.Empty(t, c.site.history.violations)
}

// TestMessageWithNothingAskedIsAViolation violates the check once, and meets its exceptions.
func TestMessageWithNothingAskedIsAViolation(t *testing.T) {
	for name, c := range map[string]struct {
		message   string
		violation bool
	}{
		"an answer":             {"DONE -\r\nREADY I -\r\n", true},
		"a fault":               {"ERR ABORTED idle\r\n", false},
		"the end":               {"", false},
		"a part of a message":   {"DON", false},
		"a row that looks like": {"ROW x\nERR y\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			caller, server, _ := newTestCaller(t)
			_, err := io.WriteString(server, c.message)
			require.NoError(t, err)
			require.NoError(t, server.(io.Closer).Close())
			require.Eventually(t, caller.in.arrived, time.Second, time.Millisecond)
			_, err = caller.queryWithID("q", "READ a")
			require.Error(t, err)
			if !c.violation {
				require.Empty(t, caller.site.history.violations)
				return
			}
			requireViolation(t, caller.site.history, "mixed")
		})
	}
}

func TestPreparedStatementThatIsUnknownIsAViolation(t *testing.T) {
	c, _, answerNext := newTestCaller(t)
	answerNext("ERR NOSTMT s1\r\nREADY I -\r\n")
	_, err := c.queryWithID("q1", "EXEC s1 a")
	require.NoError(t, err, "it was never prepared")
	require.Empty(t, c.site.history.violations)
	c.prepared["s1"] = "READ q2"
	answerNext("ERR NOSTMT s1\r\nREADY I -\r\n")
	_, err = c.queryWithID("q2", "EXEC s1 a")
	require.ErrorIs(t, err, errSessionEnded)
	requireViolation(t, c.site.history, "pinned")
}

// TestRefusedValueIsNotTheSessions guards against a check that holds instances to a value whose SET was refused.
func TestRefusedValueIsNotTheSessions(t *testing.T) {
	c, _, answerNext := newTestCaller(t)
	c.random = (&site{}).newCaller(0).random
	answerNext("ERR BADMSG no\r\nREADY I -\r\n")
	require.ErrorIs(t, c.set(), errSessionEnded)
	require.Empty(t, c.values)
	require.Equal(t, 1, c.site.history.rejected)
	answerNext("DONE -\r\nREADY I -\r\n")
	require.NoError(t, c.set())
	require.Len(t, c.values, 1)
}

// TestAnswerToStartIsReadToItsEnd accepts READY alone, as a whole message.
func TestAnswerToStartIsReadToItsEnd(t *testing.T) {
	for message, c := range map[string]struct{ accepted, violation bool }{
		"READY I -\r\n":                {accepted: true},
		"ERR NOAUTH no\r\n":            {},
		"READY I -\nREADY I -\r\n":     {violation: true},
		"READY T -\r\n":                {violation: true},
		"DONE -\r\nREADY I -\r\n":      {violation: true},
		"READY I -\n":                  {},
		"ERR NODB x\nREADY I -\r\nx\n": {},
	} {
		caller, server, _ := newTestCaller(t)
		_, err := io.WriteString(server, message)
		require.NoError(t, err)
		require.NoError(t, server.(io.Closer).Close())
		require.Equal(t, c.accepted, caller.accepted(), message)
		require.Equal(t, c.violation, caller.site.history.kinds["mixed"] == 1, message)
	}
}
