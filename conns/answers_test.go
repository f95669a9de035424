package conns

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

func TestAnswersAreJudgedByWhatTheConnectionHasHad(t *testing.T) {
	mark := model.Mark{Term: 1, Position: 7}
	read := model.Reply{Rows: []string{"a"}, Proof: "p1", State: model.TxNone, Mark: mark}
	begun := model.Reply{State: model.TxOpen, Mark: mark}
	done := model.Reply{State: model.TxNone, Mark: mark}
	status := model.Reply{Rows: []string{"primary"}, State: model.TxNone, Mark: mark}
	for _, c := range []struct {
		name  string
		kind  model.CommandKind
		state model.TxState
		reply model.Reply
		want  verdict
	}{
		{"a new proof", model.CommandRead, model.TxNone, model.Reply{Proof: "p2", State: model.TxNone}, verdictAccepted},
		{"the answer before", model.CommandRead, model.TxNone, read, verdictRepeated},
		{"the answer before, inside a transaction", model.CommandWrite, model.TxOpen, read, verdictRepeated},
		{"the proof before with other rows", model.CommandRead, model.TxNone, model.Reply{Rows: []string{"b", "a"}, Proof: "p1", State: model.TxNone, Mark: mark}, verdictProof},
		{"the proof before with the same text in other rows", model.CommandRead, model.TxNone, model.Reply{Rows: []string{"a", ""}, Proof: "p1", State: model.TxNone, Mark: mark}, verdictProof},
		{"no proof of a write", model.CommandWrite, model.TxNone, model.Reply{State: model.TxNone}, verdictProof},
		{"a value's answer before that of a write", model.CommandWrite, model.TxNone, done, verdictRepeated},
		{"no proof of a commit", model.CommandCommit, model.TxOpen, model.Reply{State: model.TxNone}, verdictProof},
		{"rows of a value", model.CommandSet, model.TxNone, model.Reply{Rows: []string{"a"}, State: model.TxNone}, verdictRows},
		{"a new proof of a value", model.CommandSet, model.TxNone, model.Reply{Proof: "p2", State: model.TxNone}, verdictAccepted},
		{"a value set again", model.CommandSet, model.TxNone, done, verdictAccepted},
		{"a value inside a transaction", model.CommandSet, model.TxOpen, begun, verdictAccepted},
		{"a value that ends a transaction", model.CommandSet, model.TxOpen, model.Reply{State: model.TxNone}, verdictState},
		{"an answer from before the transaction", model.CommandSet, model.TxOpen, done, verdictRepeated},
		{"a transaction begun", model.CommandBegin, model.TxNone, model.Reply{State: model.TxOpen, Mark: model.Mark{Term: 1, Position: 8}}, verdictAccepted},
		{"a transaction begun as before", model.CommandBegin, model.TxNone, begun, verdictAmbiguous},
		{"a transaction not begun", model.CommandBegin, model.TxNone, model.Reply{State: model.TxNone}, verdictState},
		{"a read that opens a transaction", model.CommandRead, model.TxNone, model.Reply{Proof: "p2", State: model.TxOpen}, verdictState},
		{"a commit that leaves the transaction open", model.CommandCommit, model.TxOpen, model.Reply{Proof: "p2", State: model.TxOpen}, verdictState},
		{"a rollback", model.CommandRollback, model.TxOpen, done, verdictAccepted},
		{"a fault", model.CommandWrite, model.TxNone, model.Reply{Fault: model.FaultBusy, State: model.TxNone}, verdictAccepted},
		{"an unknown kind that changes the state", "", model.TxNone, model.Reply{State: model.TxOpen}, verdictState},
		{"a state", model.CommandStatus, model.TxNone, model.Reply{Rows: []string{"x"}, State: model.TxNone}, verdictAccepted},
		{"the state before", model.CommandStatus, model.TxNone, status, verdictAmbiguous},
		{"a state without a row", model.CommandStatus, model.TxNone, model.Reply{State: model.TxNone}, verdictRows},
		{"the answer before, unknown kind", "", model.TxNone, read, verdictRepeated},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := newAnswers()
			a.add(model.Query{Kind: model.CommandRead}, a.hash(read))
			a.add(model.Query{Kind: model.CommandSet}, a.hash(done))
			a.add(model.Query{Kind: model.CommandStatus}, a.hash(status))
			a.add(model.Query{Kind: model.CommandBegin}, a.hash(begun))
			require.Equal(t, c.want, a.judge(model.Query{ID: "1", Kind: c.kind}, c.state, a.hash(c.reply)))
		})
	}
}

// TestConnectionIsReplacedBeforeItForgetsAnswers guards against a repetition that is older than what the connection remembers.
func TestConnectionIsReplacedBeforeItForgetsAnswers(t *testing.T) {
	c := newConn(&fakeInstanceConn{})
	for n := range maxAnswers {
		require.True(t, c.reusable(), n)
		c.accept(model.Query{Kind: model.CommandRead}, c.answers.hash(model.Reply{Proof: fmt.Sprint(n), State: model.TxNone}))
	}
	require.False(t, c.reusable())
}

// TestConnectionEndsWithItsFirstFault guards against a promise that an instance gave to an earlier statement of the connection.
func TestConnectionEndsWithItsFirstFault(t *testing.T) {
	c := newConn(&fakeInstanceConn{})
	c.accept(model.Query{Kind: model.CommandWrite}, c.answers.hash(model.Reply{Fault: model.FaultBusy, State: model.TxNone}))
	require.False(t, c.reusable())
}

// TestFaultAfterAnUncertainAcknowledgementIsNoPromise guards against a promise to a write for the refusal of the value before it.
func TestFaultAfterAnUncertainAcknowledgementIsNoPromise(t *testing.T) {
	a, set, done := newAnswers(), model.Query{Kind: model.CommandSet}, model.Reply{State: model.TxNone}
	write, busy := model.Query{Kind: model.CommandWrite, Commits: true}, model.Reply{Fault: model.FaultBusy, State: model.TxNone}
	a.add(set, a.hash(done))
	require.Equal(t, verdictAccepted, a.judge(write, model.TxNone, a.hash(busy)))
	a.add(set, a.hash(done))
	require.Equal(t, verdictAmbiguous, a.judge(write, model.TxNone, a.hash(busy)))
	require.Equal(t, verdictAccepted, a.judge(model.Query{Kind: model.CommandRead}, model.TxNone, a.hash(busy)), "a read leaves nothing that is kept")
	a.add(write, a.hash(model.Reply{Proof: "p", State: model.TxNone}))
	require.Equal(t, verdictAccepted, a.judge(write, model.TxNone, a.hash(busy)), "the own answer of the value has come before")
}
