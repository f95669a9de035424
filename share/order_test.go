package share

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
)

const (
	orderTeam model.TeamName = "builders"
	// settled is a time after which a report counts.
	settled = reportSettleTime + time.Second
)

// demandAt returns a limiter whose callers arrived at a rate until now, and now.
func demandAt(now time.Time, perSecond int) (*Limiter, time.Time) {
	limits := policy.Team{Name: orderTeam, Rate: 1000, Burst: 1000}
	l := New(now, Config{Domain: "east", Weight: func() float64 { return 0.5 }, Team: func(model.TeamName) (policy.Team, bool) { return limits, true }})
	for range 5 * perSecond {
		now = now.Add(time.Second / time.Duration(perSecond))
		l.Admit(now, limits, BucketStart{FillFrom: now})
	}
	return l, now
}

// requireDemand requires that the demand that others reported to a limiter is about the given one.
func requireDemand(t *testing.T, l *Limiter, now time.Time, want float64) {
	t.Helper()
	others, _ := l.othersDemand(now, orderTeam)
	require.InDelta(t, want, others, 0.5*want)
}

// TestLateReportDoesNotReplaceANewerOne guards against shares that add up to more than the rate: a datagram with an earlier demand came after a newer
// one, and the VM that got it took what the sender no longer left to it.
func TestLateReportDoesNotReplaceANewerOne(t *testing.T) {
	from, now := demandAt(time.Unix(1000, 0), 2)
	earlier := from.Report(now, "a")
	limits := policy.Team{Name: orderTeam, Rate: 1000, Burst: 1000}
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		from.Admit(now, limits, BucketStart{FillFrom: now})
	}
	newer := from.Report(now, "a")
	require.Greater(t, newer.Demand[orderTeam], 3*earlier.Demand[orderTeam])
	to := New(now, from.config)
	to.RecordReport(now, newer)
	to.RecordReport(now.Add(time.Millisecond), earlier)
	requireDemand(t, to, now.Add(settled), newer.Demand[orderTeam])
}

// TestReportOfAnEndedProcessDoesNotReplaceThatOfTheNext is the same for a report of the process that ran before on the VM.
func TestReportOfAnEndedProcessDoesNotReplaceThatOfTheNext(t *testing.T) {
	ended, now := demandAt(time.Unix(1000, 0), 2)
	next, _ := demandAt(now, 50)
	now = now.Add(5 * time.Second)
	to := New(now, ended.config)
	to.RecordReport(now, ended.Report(now.Add(-5*time.Second), "a"))
	newer := next.Report(now, "a")
	to.RecordReport(now.Add(time.Millisecond), newer)
	to.RecordReport(now.Add(2*time.Millisecond), ended.Report(now.Add(-5*time.Second), "a"))
	requireDemand(t, to, now.Add(settled), newer.Demand[orderTeam])
}

// TestAnswerToAReportCountsBesidesIt guards against a partial report, the answer to one of another VM, that is taken for a repetition.
func TestAnswerToAReportCountsBesidesIt(t *testing.T) {
	from, now := demandAt(time.Unix(1000, 0), 2)
	for range minReports {
		from.Report(now, "a")
	}
	to := New(now, from.config)
	to.RecordReport(now, Report{VM: "a", Process: from.process, Number: from.reports, Demand: map[model.TeamName]float64{}})
	to.RecordReport(now, from.ReportFor("a", []model.TeamName{orderTeam}))
	requireDemand(t, to, now.Add(settled), 2)
}
