package stand

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

// TestPlansFollowTheSharesOfAnswerFaults guards against a fault that is configured and never drawn, or drawn with a time beyond its bound.
func TestPlansFollowTheSharesOfAnswerFaults(t *testing.T) {
	const longest, draws = 40 * time.Millisecond, 200
	for name, c := range map[string]struct {
		faults AnswerFaults
		check  func(plan model.AnswerPlan) bool
	}{
		"none":             {AnswerFaults{RepeatWithin: longest, DelayWithin: longest}, func(p model.AnswerPlan) bool { return p == model.AnswerPlan{} }},
		"repeated":         {AnswerFaults{Repeated: 1, RepeatWithin: longest}, func(p model.AnswerPlan) bool { return p.Repeat && !p.Cut && p.Delay == 0 }},
		"repeated at once": {AnswerFaults{Repeated: 1}, func(p model.AnswerPlan) bool { return p == model.AnswerPlan{Repeat: true} }},
		"cut":              {AnswerFaults{Cut: 1, Repeated: 1}, func(p model.AnswerPlan) bool { return p == model.AnswerPlan{Cut: true} }},
		"delayed":          {AnswerFaults{Delayed: 1, DelayWithin: longest}, func(p model.AnswerPlan) bool { return !p.Repeat && !p.Cut }},
		"delayed and repeated": {
			AnswerFaults{Delayed: 1, DelayWithin: longest, Repeated: 1, RepeatWithin: longest}, func(p model.AnswerPlan) bool { return p.Repeat },
		},
	} {
		t.Run(name, func(t *testing.T) {
			conn, cluster := newStatementConn(t)
			cluster.SetFaults("a", DatabaseFaults{Answers: c.faults})
			var delay, repeatAfter time.Duration
			for range draws {
				plan := conn.PlanAnswer()
				require.True(t, c.check(plan), "%+v", plan)
				require.LessOrEqual(t, max(plan.Delay, plan.RepeatAfter), longest)
				delay, repeatAfter = max(delay, plan.Delay), max(repeatAfter, plan.RepeatAfter)
			}
			require.Equal(t, c.faults.Delayed == 1, delay > longest/2, "the delays are spread")
			require.Equal(t, c.faults.Repeated == 1 && c.faults.Cut == 0 && c.faults.RepeatWithin > 0, repeatAfter > longest/2, "the repetitions are spread")
		})
	}
}

// TestAnswerFaultsAreThoseOfOneInstance guards against a fault that reaches the instances it is not set for.
func TestAnswerFaultsAreThoseOfOneInstance(t *testing.T) {
	conn, cluster := newStatementConn(t)
	cluster.SetFaults("b", DatabaseFaults{Answers: AnswerFaults{Repeated: 1, RefusedSets: 1}})
	require.Equal(t, model.AnswerPlan{}, conn.PlanAnswer())
	require.Empty(t, ask(t, conn, "SET name value").Fault)
}

// TestRefusedValuesAreNotCarriedOut guards against a refusal after which the statement is prepared all the same. Within a transaction, a
// refusal fails it as any other fault does.
func TestRefusedValuesAreNotCarriedOut(t *testing.T) {
	conn, cluster := newStatementConn(t)
	cluster.SetFaults("a", DatabaseFaults{Answers: AnswerFaults{RefusedSets: 1}})
	require.Equal(t, model.FaultFailed, ask(t, conn, "SET name value").Fault)
	require.Equal(t, model.FaultFailed, ask(t, conn, "PREPARE r READ q").Fault)
	require.Equal(t, model.FaultNoStatement, ask(t, conn, "EXEC r a").Fault)
	require.Empty(t, ask(t, conn, "READ a").Fault)
	require.Empty(t, ask(t, conn, "RESET").Fault)
	require.Equal(t, model.TxOpen, ask(t, conn, "BEGIN").State)
	require.Equal(t, model.TxFailed, ask(t, conn, "SET name value").State)
}

// TestSameSeedGivesTheSameAnswerFaults guards against a run that its seed does not repeat, and against draws where no fault is set, which would
// change the draws of the faults that are.
func TestSameSeedGivesTheSameAnswerFaults(t *testing.T) {
	plans := func(seed uint64, before int) []model.AnswerPlan {
		_, instances := newTestCluster()
		cluster := NewCluster(ClusterConfig{Group: "g", Instances: instances, Seed: seed})
		conn, err := cluster.Dial(time.Now().Add(time.Second), instances[0], "team")
		require.NoError(t, err)
		for range before {
			require.Equal(t, model.AnswerPlan{}, conn.(*clusterConn).PlanAnswer())
			require.Empty(t, ask(t, conn.(*clusterConn), "SET name value").Fault)
		}
		cluster.SetFaults("a", DatabaseFaults{Answers: AnswerFaults{Repeated: 0.5, RepeatWithin: time.Second, Delayed: 0.5, DelayWithin: time.Second}})
		var plans []model.AnswerPlan
		for range 20 {
			plans = append(plans, conn.(*clusterConn).PlanAnswer())
		}
		return plans
	}
	require.Equal(t, plans(1, 0), plans(1, 0))
	require.Equal(t, plans(1, 0), plans(1, 9))
	require.NotEqual(t, plans(1, 0), plans(2, 0))
}
