package serve

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDrainPlanAnswersBeforeTheProcessEnds replays a stop with a grace period of 6 s: what would end later than the process is cut short before it.
func TestDrainPlanAnswersBeforeTheProcessEnds(t *testing.T) {
	stop := time.Unix(100, 0)
	after := func(ms int) time.Time { return stop.Add(time.Duration(ms) * time.Millisecond) }
	plan := &DrainPlan{TransactionsUntil: after(3000), StatementsUntil: after(5300)}
	var none *DrainPlan
	for _, c := range []struct {
		name            string
		plan            *DrainPlan
		at              int
		idle, mayBeIdle time.Duration
		runs            bool
		deadline        int
	}{
		{"not stopping", none, 0, 2 * time.Second, 2 * time.Second, true, 2500},
		{"not stopping, no limit", none, 0, 0, 0, true, 2500},
		{"just stopping", plan, 0, 2 * time.Second, 2 * time.Second, true, 2500},
		{"just stopping, no limit", plan, 0, 0, 3 * time.Second, true, 2500},
		{"near the end of transactions", plan, 2500, 2 * time.Second, 500 * time.Millisecond, true, 5000},
		{"after the end of transactions", plan, 3500, 2 * time.Second, finalPauseTimeout, true, 5300},
		{"near the end of statements", plan, 5200, 2 * time.Second, 100 * time.Millisecond, true, 5300},
		{"after the end of statements", plan, 5300, 2 * time.Second, finalReadTimeout, false, 5300},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := after(c.at)
			require.Equal(t, c.mayBeIdle, c.plan.transactionWait(now, c.idle))
			require.Equal(t, c.runs, c.plan.mayRun(now))
			require.Equal(t, after(c.deadline), c.plan.statementDeadline(now, 2500*time.Millisecond))
		})
	}
}
