package bench

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/load"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/quota"
)

var start = time.Unix(0, 0)

func ackAt(d time.Duration, term model.Term) load.Sample {
	return load.Sample{SentAt: start.Add(d), Group: "G", Write: true, Answer: load.Answer{Mark: model.Mark{Term: term}}}
}

func TestAckMonitorCountsAcknowledgementOfReplacedTerm(t *testing.T) {
	m := newAckMonitor()
	m.observe(ackAt(0, 1))
	m.observe(ackAt(time.Second, 2))
	wrong, _ := m.counts()
	require.Zero(t, wrong)
	m.observe(ackAt(2*time.Second, 1))
	wrong, _ = m.counts()
	require.Equal(t, 1, wrong)
}

func TestAckMonitorMeasuresLongestGap(t *testing.T) {
	m := newAckMonitor()
	for _, at := range []time.Duration{0, 100, 200, 1900, 2000} {
		m.observe(ackAt(at*time.Millisecond, 1))
	}
	require.Equal(t, 1700*time.Millisecond, m.longestGap("G", start.Add(150*time.Millisecond), start.Add(2100*time.Millisecond)))
	require.Equal(t, 8*time.Second, m.longestGap("G", start.Add(time.Second), start.Add(10*time.Second)), "a gap that is still open must count")
}

func TestMaxOverRateFindsWorstWindow(t *testing.T) {
	limit := quota.Limit{Rate: 10, Burst: 5}
	a := newAdmissions()
	for i := range 5 {
		a.add("T", start.Add(time.Duration(i)*time.Millisecond))
	}
	require.LessOrEqual(t, a.maxOverRate("T", limit), 0.0)
	a.add("T", start.Add(6*time.Millisecond))
	require.Greater(t, a.maxOverRate("T", limit), 0.0)
}

func TestFairShareIsMaxMin(t *testing.T) {
	require.InDelta(t, 40, fairShare(map[model.TeamName]float64{"A": 10, "B": 50, "C": 60}, 90), 1e-9)
	require.InDelta(t, 30, fairShare(map[model.TeamName]float64{"A": 50, "B": 50, "C": 60}, 90), 1e-9)
}
