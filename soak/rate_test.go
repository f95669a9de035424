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
