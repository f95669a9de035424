package serve

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

// TestAnswerToAGivenUpStatementIsTrue guards against promises to callers whose statement may have a lasting effect.
func TestAnswerToAGivenUpStatementIsTrue(t *testing.T) {
	for _, c := range []struct {
		kind  model.CommandKind
		state model.TxState
		fault model.Fault
		after model.TxState
	}{
		{model.CommandRead, model.TxNone, model.FaultTimeout, model.TxNone},
		{model.CommandWrite, model.TxNone, model.FaultUncertain, model.TxNone},
		{model.CommandExecute, model.TxNone, model.FaultUncertain, model.TxNone},
		{model.CommandBegin, model.TxNone, model.FaultAborted, model.TxNone},
		{model.CommandRead, model.TxOpen, model.FaultAborted, model.TxFailed},
		{model.CommandWrite, model.TxOpen, model.FaultAborted, model.TxFailed},
		{model.CommandExecute, model.TxOpen, model.FaultAborted, model.TxFailed},
		{model.CommandCommit, model.TxOpen, model.FaultUncertain, model.TxNone},
		{model.CommandCommit, model.TxFailed, model.FaultAborted, model.TxNone},
		{model.CommandRollback, model.TxOpen, "", model.TxNone},
		{model.CommandRollback, model.TxFailed, "", model.TxNone},
	} {
		reply := givenUpReply(c.kind, c.state)
		require.Equal(t, c.fault, reply.Fault, "%s in %s", c.kind, c.state)
		require.Equal(t, c.after, reply.State, "%s in %s", c.kind, c.state)
	}
}

// TestOwedAnswerIsGivenOnce guards against two answers to one statement, and against a session that closes its connection while the process
// that ends is about to give the answer.
func TestOwedAnswerIsGivenOnce(t *testing.T) {
	o := owedAnswer{given: make(chan struct{})}
	require.False(t, o.takeOver(), "nothing was asked")
	o.begin(model.Command{Kind: model.CommandRead}, model.TxNone)
	require.True(t, o.claim())
	require.False(t, o.takeOver(), "the session gave the answer")
	o.begin(model.Command{Kind: model.CommandRead}, model.TxNone)
	require.True(t, o.takeOver())
	ended := make(chan bool, 1)
	go func() { ended <- o.claim() }()
	select {
	case <-ended:
		t.Fatal("the session ends before the answer is given")
	case <-time.After(50 * time.Millisecond):
	}
	close(o.given)
	require.False(t, <-ended)
}
