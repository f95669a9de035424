package stand

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

// answerTimeout is the time in which an instance of a test answers, even on a busy machine.
const answerTimeout = 5 * time.Second

// oddTexts hold bytes that the protocol allows in the last field of a statement and that code is likely to drop or to split at.
var oddTexts = []string{"a  b ", " a", "  ", "a\nb", "\n", "a\rb", "a\r", "a\x00b", "\xff\xfe", "a\nQUERY q9 WRITE b y", "READ a", "-", "\u00a0a\t"}

// newStatementConn returns a connection to the primary of a group whose replicas receive all commits at once.
func newStatementConn(t *testing.T) (*clusterConn, *Cluster) {
	t.Helper()
	cluster, instances := newTestCluster()
	go func() {
		for t.Context().Err() == nil {
			cluster.Replicate(time.Now())
			time.Sleep(time.Millisecond)
		}
	}()
	conn, err := cluster.Dial(time.Now().Add(time.Second), instances[0], "team")
	require.NoError(t, err)
	return conn.(*clusterConn), cluster
}

// ask runs a statement and returns the answer.
func ask(t *testing.T, conn *clusterConn, text string) model.Reply {
	t.Helper()
	replies, err := conn.Exchange(time.Now().Add(answerTimeout), model.Query{ID: "q", Text: text})
	require.NoError(t, err, "%q", text)
	return replies[0]
}

// TestDataAndItemsAreKeptByteForByte guards against a stand-in that cuts or trims text, so that it hides or causes what looks like a fault of
// the proxy.
func TestDataAndItemsAreKeptByteForByte(t *testing.T) {
	for _, text := range oddTexts {
		conn, _ := newStatementConn(t)
		require.Empty(t, ask(t, conn, "WRITE item "+text).Fault, "%q", text)
		require.Equal(t, []string{text}, ask(t, conn, "READ item").Rows)

		require.Empty(t, ask(t, conn, "PREPARE w WRITE "+text).Fault, "%q", text)
		require.Empty(t, ask(t, conn, "PREPARE r READ "+text).Fault, "%q", text)
		require.Empty(t, ask(t, conn, "SET name "+text).Fault, "%q", text)
		require.Empty(t, ask(t, conn, "EXEC w prepared "+text).Fault, "%q", text)
		require.Equal(t, []string{text}, ask(t, conn, "EXEC r prepared").Rows)

		reply := ask(t, conn, "READ item"+text)
		require.Empty(t, reply.Fault, "%q", text)
		require.Equal(t, []string{""}, reply.Rows, "another item")
	}
}

// TestItemExtendsToTheEndOfAStatement guards against a read that finds the value of the first word of its item.
func TestItemExtendsToTheEndOfAStatement(t *testing.T) {
	conn, cluster := newStatementConn(t)
	cluster.mu.Lock()
	cluster.databases["a"].log.add(commit{mark: model.Mark{Term: 1, Position: 1}, writes: []write{{item: "a b \n", data: "found"}}})
	cluster.mu.Unlock()
	require.Equal(t, []string{"found"}, ask(t, conn, "READ a b \n").Rows)
	require.Empty(t, ask(t, conn, "PREPARE r READ q").Fault)
	require.Equal(t, []string{"found"}, ask(t, conn, "EXEC r a b \n").Rows)
	require.Equal(t, []string{""}, ask(t, conn, "READ a").Rows)
}

// TestStatementThatIsNoneIsAFault guards against a stand-in that panics at a malformed statement, or answers it with a success.
func TestStatementThatIsNoneIsAFault(t *testing.T) {
	for text, fault := range map[string]model.Fault{
		"":                     model.FaultBadMessage,
		"read a":               model.FaultBadMessage,
		"STATUS x":             model.FaultBadMessage,
		"SINCE 1 READ a":       model.FaultBadMessage,
		" READ a":              model.FaultBadMessage,
		"READ":                 model.FaultBadMessage,
		"READ ":                model.FaultBadMessage,
		"WRITE":                model.FaultBadMessage,
		"WRITE a":              model.FaultBadMessage,
		"WRITE  a":             model.FaultBadMessage,
		"WRITE a ":             "",
		"SET":                  model.FaultBadMessage,
		"SET a":                model.FaultBadMessage,
		"SET  a":               model.FaultBadMessage,
		"SET a ":               "",
		"PREPARE":              model.FaultBadMessage,
		"PREPARE p":            model.FaultBadMessage,
		"PREPARE p READ":       model.FaultBadMessage,
		"PREPARE p READ ":      model.FaultBadMessage,
		"PREPARE p DROP q":     model.FaultBadMessage,
		"PREPARE  READ q":      model.FaultBadMessage,
		"EXEC":                 model.FaultBadMessage,
		"EXEC  a":              model.FaultBadMessage,
		"EXEC unknown":         model.FaultNoStatement,
		"EXEC unknown a":       model.FaultNoStatement,
		"EXEC unknown a b":     model.FaultNoStatement,
		"EXEC r":               model.FaultBadMessage,
		"EXEC w a":             model.FaultBadMessage,
		"EXEC w a ":            "",
		"DEALLOC":              model.FaultBadMessage,
		"DEALLOC unknown":      model.FaultNoStatement,
		"DEALLOC r x":          model.FaultNoStatement,
		"BEGIN WRITE":          model.FaultBadMessage,
		"COMMIT x":             model.FaultBadMessage,
		"ROLLBACK x":           model.FaultBadMessage,
		"RESET x":              model.FaultBadMessage,
		"NONSENSE":             model.FaultBadMessage,
		"READ\na":              model.FaultBadMessage,
		"COMMIT\r":             model.FaultBadMessage,
		"WRITE\u00a0item data": model.FaultBadMessage,
	} {
		conn, _ := newStatementConn(t)
		ask(t, conn, "PREPARE r READ q")
		ask(t, conn, "PREPARE w WRITE q")
		reply := ask(t, conn, text)
		require.Equal(t, fault, reply.Fault, "%q", text)
		require.Equal(t, model.TxNone, reply.State, "%q", text)
		if fault != "" {
			require.Empty(t, reply.Proof, "%q", text)
		}
	}
}

// TestNamesEndWithDeallocAndReset guards against a stand-in that keeps prepared statements that the instance has dropped.
func TestNamesEndWithDeallocAndReset(t *testing.T) {
	for _, end := range []string{"DEALLOC r", "RESET"} {
		conn, _ := newStatementConn(t)
		require.Empty(t, ask(t, conn, "PREPARE r READ q").Fault)
		require.Empty(t, ask(t, conn, "EXEC r a").Fault)
		require.Empty(t, ask(t, conn, end).Fault)
		require.Equal(t, model.FaultNoStatement, ask(t, conn, "EXEC r a").Fault, end)
	}
}

// TestFailedTransactionCanOnlyBeEnded guards against a stand-in that runs statements of a transaction that has failed, or commits what was
// written before the failure.
func TestFailedTransactionCanOnlyBeEnded(t *testing.T) {
	for _, end := range []struct {
		text  string
		fault model.Fault
	}{{"ROLLBACK", ""}, {"COMMIT", model.FaultFailed}} {
		conn, cluster := newStatementConn(t)
		require.Equal(t, model.TxOpen, ask(t, conn, "BEGIN").State)
		require.Equal(t, model.TxOpen, ask(t, conn, "WRITE item x").State)
		require.Equal(t, model.TxFailed, ask(t, conn, "EXEC unknown a").State)
		for _, text := range []string{"READ item", "WRITE item y", "SET a b", "BEGIN", "PREPARE p READ q", "EXEC p a", "DEALLOC p", "RESET", "nonsense"} {
			reply := ask(t, conn, text)
			require.Equal(t, model.FaultBadMessage, reply.Fault, text)
			require.Equal(t, model.TxFailed, reply.State, text)
			require.Empty(t, reply.Proof, text)
		}
		reply := ask(t, conn, end.text)
		require.Equal(t, end.fault, reply.Fault, end.text)
		require.Equal(t, model.TxNone, reply.State, end.text)
		require.Empty(t, reply.Proof, end.text)
		require.Zero(t, cluster.CommitCount("q"), end.text)

		require.Equal(t, []string{""}, ask(t, conn, "READ item").Rows, "the connection goes on")
		require.Empty(t, ask(t, conn, "WRITE item z").Fault)
		require.Equal(t, []string{"z"}, ask(t, conn, "READ item").Rows)
	}
}

// TestFaultOutsideATransactionFailsNothing guards against a connection that stays failed for the next caller.
func TestFaultOutsideATransactionFailsNothing(t *testing.T) {
	conn, _ := newStatementConn(t)
	require.Equal(t, model.TxNone, ask(t, conn, "EXEC unknown a").State)
	require.Empty(t, ask(t, conn, "READ a").Fault)
	require.Equal(t, model.TxOpen, ask(t, conn, "BEGIN").State)
}
