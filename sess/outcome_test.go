package sess

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

func TestUnansweredFaultMatchesWhatMayHavePersisted(t *testing.T) {
	for _, c := range []struct {
		name     string
		step     Step
		timedOut bool
		want     model.Fault
	}{
		{"single write", Step{Kind: StepWrite}, false, model.FaultUncertain},
		{"single write after its deadline", Step{Kind: StepWrite}, true, model.FaultUncertain},
		{"commit of writes", Step{Kind: StepCommit, Wrote: true}, false, model.FaultUncertain},
		{"commit of nothing", Step{Kind: StepCommit}, false, model.FaultAborted},
		{"write inside a transaction", Step{Kind: StepInTransaction, Wrote: true}, false, model.FaultAborted},
		{"read after its deadline", Step{Kind: StepRead}, true, model.FaultTimeout},
		{"read", Step{Kind: StepRead}, false, model.FaultFailed},
	} {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, UnansweredFault(c.step, c.timedOut)) })
	}
}

func TestCallerReplyMatchesWhatMayHavePersisted(t *testing.T) {
	done := model.Reply{Proof: "7.1", Rows: []string{"x"}, State: model.TxNone}
	for _, c := range []struct {
		name           string
		step           Step
		reply          model.Reply
		mayAcknowledge bool
		want           model.Fault
	}{
		{"success", Step{Kind: StepWrite}, done, true, ""},
		{"commit after the lease ended", Step{Kind: StepCommit, Wrote: true}, done, false, model.FaultUncertain},
		{"write after the lease ended", Step{Kind: StepWrite}, done, false, model.FaultUncertain},
		{"read after the lease ended", Step{Kind: StepRead}, done, false, ""},
		{"success without proof of a write", Step{Kind: StepWrite}, model.Reply{}, true, model.FaultUncertain},
		{"success without proof of a read", Step{Kind: StepRead}, model.Reply{}, true, model.FaultFailed},
		{"busy", Step{Kind: StepWrite}, model.Reply{Fault: model.FaultBusy}, true, model.FaultBusy},
		{"misdirected inside a transaction", Step{Kind: StepInTransaction}, model.Reply{Fault: model.FaultMisdirected}, true, model.FaultAborted},
		{"statement unknown to the connection", Step{Kind: StepRead}, model.Reply{Fault: model.FaultNoStatement}, true, model.FaultBusy},
		{"unknown fault of a write", Step{Kind: StepWrite}, model.Reply{Fault: model.FaultOther}, true, model.FaultUncertain},
		{"failed", Step{Kind: StepWrite}, model.Reply{Fault: model.FaultFailed}, true, model.FaultFailed},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, CallerReply(c.step, c.reply, c.mayAcknowledge).Fault)
		})
	}
}

func TestLastCommitBelongsToAGroup(t *testing.T) {
	s := New()
	s.RecordCommit("a", model.Mark{Term: 1, Position: 5})
	s.RecordCommit("a", model.Mark{Term: 1, Position: 4})
	require.Equal(t, model.Mark{Term: 1, Position: 5}, s.LastCommit("a"))
	require.Zero(t, s.LastCommit("b"))
	s.RecordCommit("b", model.Mark{Term: 1, Position: 2})
	require.Equal(t, model.Mark{Term: 1, Position: 2}, s.LastCommit("b"))
}

// TestCommitsInOtherGroupsDoNotHideACommit guards against a session that does not see its own write: its route moved to another group, where it committed as
// well, and back.
func TestCommitsInOtherGroupsDoNotHideACommit(t *testing.T) {
	s := New()
	s.RecordCommit("a", model.Mark{Term: 1, Position: 5})
	s.RecordCommit("b", model.Mark{Term: 1, Position: 2})
	require.Equal(t, model.Mark{Term: 1, Position: 5}, s.LastCommit("a"))
	s.RecordCommit("a", model.Mark{Term: 1, Position: 4})
	require.Equal(t, model.Mark{Term: 1, Position: 5}, s.LastCommit("a"), "a late answer does not move it back")
	s.RecordCommit("a", model.Mark{Term: 2, Position: 6})
	require.Equal(t, model.Mark{Term: 2, Position: 6}, s.LastCommit("a"))
	require.Equal(t, model.Mark{Term: 1, Position: 2}, s.LastCommit("b"))
}

func TestSetDoesNotChangeOlderMaps(t *testing.T) {
	s := New()
	s.Set("zone", "a")
	older := s.Values
	s.Set("zone", "b")
	require.Equal(t, "a", older["zone"])
	require.Equal(t, "b", s.Values["zone"])
}

// TestOnlyADefiniteAnswerSettlesWhetherAStepCommitted guards against lost commits: an instance may have kept what it answered with such a fault.
func TestOnlyADefiniteAnswerSettlesWhetherAStepCommitted(t *testing.T) {
	write := Step{Kind: StepWrite}
	require.True(t, write.Settles(model.Reply{Proof: "p"}))
	require.True(t, write.Settles(model.Reply{Fault: model.FaultReadOnly}))
	require.False(t, write.Settles(model.Reply{}), "no proof")
	for _, fault := range []model.Fault{model.FaultTimeout, model.FaultFailed, model.FaultOther} {
		require.False(t, write.Settles(model.Reply{Fault: fault}), fault)
	}
}
