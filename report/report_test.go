package report

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/tree"
)

var start = time.Unix(1_800_000_000, 0).UTC()

// record adds one request a second for a duration. Of every failEvery requests one fails; 0 lets none fail.
func record(r *Recorder, from time.Time, d time.Duration, failEvery int) {
	for i := range int(d.Seconds()) {
		request := Request{Team: "Sales", Route: "Quotes", Outcome: model.Done}
		if failEvery > 0 && i%failEvery == 0 {
			request.Outcome = model.NotRun
		}
		r.Add(from.Add(time.Duration(i)*time.Second), request, tree.Defaults())
	}
}

func TestLevelNeedsHighBurnInBothWindows(t *testing.T) {
	cases := []struct {
		name             string
		failEveryEarlier int
		failEveryRecent  int
		wantLevel        Level
	}{
		{"nothing fails", 0, 0, LevelOK},
		{"high burn that continues", 20, 20, LevelPage},
		{"high burn that has ended", 20, 0, LevelOK},
		{"moderate burn that continues", 140, 140, LevelTicket},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := NewRecorder()
			record(r, start, 50*time.Minute, c.failEveryEarlier)
			record(r, start.Add(50*time.Minute), 10*time.Minute, c.failEveryRecent)
			require.Equal(t, c.wantLevel, r.Series()[0].LevelAt(start.Add(time.Hour)))
		})
	}
}

func TestCallerErrorsAreNotCounted(t *testing.T) {
	r := NewRecorder()
	r.Add(start, Request{Team: "Sales", Route: "Quotes", Outcome: model.NotRun, Reason: model.ReasonOverRate}, tree.Defaults())
	require.Empty(t, r.Series())
}

func TestMergeSumsSlotsOfSeveralVMs(t *testing.T) {
	first, second := NewRecorder(), NewRecorder()
	record(first, start, time.Minute, 0)
	record(second, start, 2*time.Minute, 2)
	merged := Merge(first.Series(), second.Series())
	require.Len(t, merged, 1)
	burn := merged[0].BurnOver(start.Add(2*time.Minute), time.Hour)
	require.EqualValues(t, 180, burn.Requests)
	require.InDelta(t, 60.0/180/0.001, burn.Availability, 1)
}

func TestOldSlotsAreDropped(t *testing.T) {
	r := NewRecorder()
	record(r, start, 3*time.Hour, 0)
	require.LessOrEqual(t, len(r.Series()[0].Slots), int(Retention/SlotDuration)+1)
}

func TestPageAndTextShowTheSeries(t *testing.T) {
	r := NewRecorder()
	record(r, start, 10*time.Minute, 10)
	now := start.Add(10 * time.Minute)
	var page strings.Builder
	require.NoError(t, WriteHTML(&page, now, "a test", r.Series()))
	require.Contains(t, page.String(), "data:image/png;base64,")
	require.Contains(t, page.String(), `class="Page"`)
	require.Contains(t, Text(now, r.Series()), "Quotes")
	var none strings.Builder
	require.NoError(t, WriteHTML(&none, now, "nothing", nil))
}
