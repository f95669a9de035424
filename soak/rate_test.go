package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

// TestRateViolationTellsTheWorstWindow guards against a figure that is always one more than allowed: the first window over the limit was
// reported, not the worst one.
func TestRateViolationTellsTheWorstWindow(t *testing.T) {
	const rate, burst = 10, 10
	start := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	allowed := int((rate*rateWindow.Seconds()+burst)*rateTolerance) + rateSlack
	h := newHistory()
	add := func(n int, from time.Time) {
		for i := range n {
			h.arrivals["t"] = append(h.arrivals["t"], arrival{
				at: from.Add(time.Duration(i) * time.Millisecond), operation: fmt.Sprint(from.Unix(), i/2), vm: model.VMID(fmt.Sprint(i % 3)),
			})
		}
	}
	add(allowed+7, start.Add(4*rateWindow))
	add(allowed+1, start)
	h.checkRates("t", rate, burst)
	require.Len(t, h.violations, 1)
	require.Contains(t, h.violations[0], fmt.Sprintf("rate: %d operations of t in 5s, %d are allowed", allowed+7, allowed))
	require.Contains(t, h.violations[0], "from 12:00:20.000 to 12:00:20.092, 46 of them repeated, through 3 VMs")
}

// TestRateViolationTellsWhatInstancesMadeOfTheOperations guards against a violation that does not tell operations that ran from those that an instance
// refused or did not answer.
func TestRateViolationTellsWhatInstancesMadeOfTheOperations(t *testing.T) {
	h := newHistory()
	ask := func(id model.RequestID, text string, faults map[string]model.Fault) {
		h.recordSent(id, sentStatement{team: "t", operation: string(id), text: text})
		conn := newCheckedConn(answeringConn{faults: faults}, h, "t", "i")
		_, err := conn.Exchange(time.Time{}, model.Query{ID: id, Text: text})
		require.NoError(t, err)
	}
	ask("ran", "READ a", nil)
	for range 2 {
		ask("lagging", "READ b", map[string]model.Fault{"READ b": model.FaultLagging})
	}
	ask("busy", "WRITE c d", map[string]model.Fault{"WRITE c d": model.FaultBusy})
	h.recordSent("none", sentStatement{team: "t", operation: "none", text: "BEGIN"})
	lost := newCheckedConn(answeringConn{err: model.ErrNoAnswer}, h, "t", "i")
	_, err := lost.Exchange(time.Time{}, model.Query{ID: "none", Text: "BEGIN"})
	require.ErrorIs(t, err, model.ErrNoAnswer)
	h.recordSent("open", sentStatement{team: "t", operation: "open", text: "READ a"})
	newCheckedConn(nil, h, "t", "i").check(model.Query{ID: "open", Text: "READ a"})
	require.Equal(t, "2 READ at i: Lagging, 1 BEGIN at i: none, 1 READ at i: ran, 1 READ at i: under way, 1 WRITE at i: Busy", worstWindow(h.arrivals["t"]).answers())
}
