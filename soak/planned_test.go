package soak

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
)

// TestStatementWithoutAnswerIsAViolation violates the check of answers once for each of its conditions, and meets each exception once.
func TestStatementWithoutAnswerIsAViolation(t *testing.T) {
	const grace, soon, late = 6 * time.Second, readSlack / 2, readSlack + time.Millisecond
	start := time.Unix(100, 0)
	at := start.Add
	for name, c := range map[string]struct {
		stopped            time.Time
		sent, arrived, end time.Duration
		finished           time.Time
		connLost           bool
		violation          bool
	}{
		"at an instance":                              {sent: 0, arrived: 1, end: soon, violation: true},
		"at no instance, ended late":                  {sent: 0, end: late, violation: true},
		"at no instance, ended at once":               {sent: 0, end: soon},
		"after the timeout of its route":              {sent: 0, arrived: 1, end: routeTimeout},
		"its instance broke off":                      {sent: 0, arrived: 1, end: soon, connLost: true},
		"while its VM stops":                          {stopped: start, sent: time.Second, arrived: time.Second + 1, end: time.Second + soon, finished: at(time.Second + 2), violation: true},
		"at work at the end of the grace period":      {stopped: start, sent: excusedAfterStop, arrived: excusedAfterStop + 1, end: excusedAfterStop + late},
		"the same, but sent too late":                 {stopped: start, sent: excusedAfterStop + 1, arrived: excusedAfterStop + 2, end: excusedAfterStop + late, violation: true},
		"at work until the last sixth of it":          {stopped: start, sent: 1, arrived: 2, end: late, finished: at(grace*5/6 + 1)},
		"at work until before the last sixth of it":   {stopped: start, sent: 1, arrived: 2, end: late, finished: at(grace * 5 / 6), violation: true},
		"at no instance at the end of the grace time": {stopped: start, sent: 1, end: late, violation: true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHistory()
			h.recordSent("q", sentStatement{text: "READ a"})
			h.recordPassage("q", func(p *passage) {
				p.sentAt, p.finishedAt, p.connLost = at(c.sent), c.finished, c.connLost
				if c.arrived > 0 {
					p.arrivedAt = at(c.arrived)
				}
			})
			h.recordUnanswered(unanswered{id: "q", vm: "vm-1", endedAt: at(c.end), stoppedAt: c.stopped, grace: grace})
			count := h.checkAnswers()
			require.Equal(t, c.violation, count == 1)
			require.Len(t, h.violations, count)
			if c.violation {
				require.Contains(t, h.violations[0], "unanswered: READ q by vm-1")
			}
		})
	}
}

// TestPlannedWorkLeavesNoStatementUnanswered guards against a VM that ends with its process the sessions that are in use, and with them
// the statements that are at an instance.
func TestPlannedWorkLeavesNoStatementUnanswered(t *testing.T) {
	report, err := Run(t.Context(), Config{
		Program: buildDaemon(t), Dir: t.TempDir(), Seed: 2, VMs: 4, Groups: 2, Sessions: 24, For: 6 * time.Second, PlannedOnly: true, Together: 1,
		Log: log.New(io.Discard),
	})
	require.NoError(t, err)
	require.Empty(t, report.Violations, "planned work %q", report.Faults)
	require.Zero(t, report.Unanswered)
	require.Positive(t, report.Acknowledged)
}
