package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/platform"
	"github.com/crocusshore/crocusshore/stand"
)

// answeringConn answers each statement with the fault under its text, or with success; it fails with err if that is set.
type answeringConn struct {
	model.InstanceConn
	faults map[string]model.Fault
	err    error
}

func (c answeringConn) Exchange(_ time.Time, queries ...model.Query) ([]model.Reply, error) {
	return []model.Reply{{Fault: c.faults[queries[0].Text], State: model.TxNone}}, c.err
}

func (c answeringConn) PlanAnswer() model.AnswerPlan { return model.AnswerPlan{Cut: true} }

// TestStatementsThatRunOtherwiseThanSentAreViolations violates each check of the statements that run on a connection once.
func TestStatementsThatRunOtherwiseThanSentAreViolations(t *testing.T) {
	own := func(text string) model.Query { return model.Query{Text: text} }
	read, execute := model.Query{ID: "r", Text: "READ a"}, model.Query{ID: "e", Text: "EXEC p1 a \n b "}
	for name, c := range map[string]struct {
		queries   []model.Query
		faults    map[string]model.Fault
		violation string
	}{
		"prepared as its caller did":      {queries: []model.Query{own("PREPARE p1 WRITE q\n2 "), execute}},
		"another shape":                   {queries: []model.Query{own("PREPARE p1 WRITE q"), execute}, violation: "pinned"},
		"another kind":                    {queries: []model.Query{own("PREPARE p1 READ q\n2 "), execute}, violation: "pinned"},
		"a name that is unknown and runs": {queries: []model.Query{execute}, violation: "pinned"},
		"a name that is unknown":          {queries: []model.Query{execute}, faults: map[string]model.Fault{execute.Text: model.FaultNoStatement}},
		"a name that RESET dropped":       {queries: []model.Query{own("PREPARE p1 WRITE q\n2 "), own("RESET"), execute}, violation: "pinned"},
		"a name that DEALLOC dropped":     {queries: []model.Query{own("PREPARE p1 WRITE q\n2 "), own("DEALLOC p1"), execute}, violation: "pinned"},
		"a name whose PREPARE was refused": {
			queries: []model.Query{own("PREPARE p1 WRITE q\n2 "), execute},
			faults:  map[string]model.Fault{"PREPARE p1 WRITE q\n2 ": model.FaultFailed}, violation: "pinned",
		},
		"values of the session":      {queries: []model.Query{own("SET z  \n1 "), {ID: "v", Text: "READ a"}}},
		"a value cut at a line feed": {queries: []model.Query{own("SET z  "), {ID: "v", Text: "READ a"}}, violation: "pinned"},
		"a value that was refused": {
			queries: []model.Query{own("SET z  \n1 "), {ID: "v", Text: "READ a"}},
			faults:  map[string]model.Fault{"SET z  \n1 ": model.FaultFailed}, violation: "pinned",
		},
		"once":                        {queries: []model.Query{read}},
		"twice":                       {queries: []model.Query{read, read}, violation: "twice"},
		"again after a refusal":       {queries: []model.Query{read, read}, faults: map[string]model.Fault{read.Text: model.FaultBusy}},
		"a read of the proxy itself":  {queries: []model.Query{own("READ a")}, violation: "unasked"},
		"a write of the proxy itself": {queries: []model.Query{own("WRITE b y")}, violation: "unasked"},
		"an EXEC of the proxy itself": {queries: []model.Query{own("EXEC p1 b")}, violation: "unasked"},
		"a rollback of the proxy":     {queries: []model.Query{own("ROLLBACK")}},
		"a commit of the proxy":       {queries: []model.Query{own("COMMIT")}, violation: "unasked"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHistory()
			h.recordSent("r", sentStatement{team: "t", text: "READ a"})
			h.recordSent("v", sentStatement{team: "t", text: "READ a", values: map[string]string{"z": " \n1 "}})
			h.recordSent("e", sentStatement{team: "t", text: "EXEC s1 a \n b ", prepared: "WRITE q\n2 "})
			conn := newCheckedConn(answeringConn{faults: c.faults}, h, "t", "i")
			for _, q := range c.queries {
				_, err := conn.Exchange(time.Time{}, q)
				require.NoError(t, err)
			}
			if c.violation == "" {
				require.Empty(t, h.violations)
				return
			}
			requireViolation(t, h, c.violation)
		})
	}
}

func TestCheckedConnectionPassesOnHowAnswersAreSent(t *testing.T) {
	conn := newCheckedConn(answeringConn{}, newHistory(), "t", "i")
	require.Equal(t, model.AnswerPlan{Cut: true}, platform.PlanAnswer(conn))
}

// TestSeriesOfFaultsLeaveEachOther guards against a fault of answers that ends with another fault of its instance, and the other way round.
func TestSeriesOfFaultsLeaveEachOther(t *testing.T) {
	s := newPlanSite(false)
	s.clusters[0] = stand.NewCluster(stand.ClusterConfig{Instances: []model.Instance{{Name: "i-0-0"}}})
	repeated := stand.AnswerFaults{Repeated: 0.5}
	s.changeFaults(0, "i-0-0", func(f *stand.DatabaseFaults) { f.Answers = repeated })
	s.setFaults(0, "i-0-0", stand.DatabaseFaults{Down: true})
	require.Equal(t, stand.DatabaseFaults{Down: true, Answers: repeated}, s.databaseFaults["i-0-0"])
	s.changeFaults(0, "i-0-0", func(f *stand.DatabaseFaults) { f.Answers.Cut = 0.1 })
	s.changeFaults(0, "i-0-0", func(f *stand.DatabaseFaults) { f.Answers.Cut = 0 })
	require.Equal(t, stand.DatabaseFaults{Down: true, Answers: repeated}, s.databaseFaults["i-0-0"])
	s.setFaults(0, "i-0-0", stand.DatabaseFaults{})
	require.Equal(t, stand.DatabaseFaults{Answers: repeated}, s.databaseFaults["i-0-0"])
}
