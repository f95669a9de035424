package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

// written returns a ledger in which one item has an acknowledged, a refused and an acknowledged value.
func written() *ledger {
	l := newLedger()
	for n, o := range []outcome{outcomeAcked, outcomeRefused, outcomeAcked} {
		value := string(rune('1' + n))
		l.write("item", model.RequestID("w"+value), value)
		l.settle("item", model.RequestID("w"+value), o)
	}
	return l
}

// TestReadsAreChecked breaks each promise about reads once.
func TestReadsAreChecked(t *testing.T) {
	for name, c := range map[string]struct {
		value  string
		least  int
		breach string
	}{
		"newest":                   {"3", 3, ""},
		"old enough":               {"1", 1, ""},
		"nothing yet":              {"", 0, ""},
		"older than allowed":       {"1", 3, "stale"},
		"nothing though acked":     {"", 1, "stale"},
		"value of a refused write": {"2", 1, "kept"},
		"value that nobody wrote":  {"9", 0, "mixed"},
	} {
		t.Run(name, func(t *testing.T) {
			l := written()
			l.read("item", c.value, c.least, "reader")
			if c.breach == "" {
				require.Empty(t, l.breaches)
				return
			}
			require.Len(t, l.breaches, 1)
			require.Contains(t, l.breaches[0], c.breach)
		})
	}
}

func TestAcknowledgedCountsUpToTheInstant(t *testing.T) {
	l := written()
	require.Equal(t, 3, l.acknowledged("item", time.Now().Add(time.Second)))
	require.Zero(t, l.acknowledged("item", time.Now().Add(-time.Second)))
}

// TestStatementsAreChecked breaks each promise about what reaches an instance once.
func TestStatementsAreChecked(t *testing.T) {
	for name, c := range map[string]struct {
		team   model.TeamName
		query  model.Query
		values map[string]string
		breach string
	}{
		"as sent":              {"t", model.Query{ID: "q", Text: "READ a"}, map[string]string{"z": "1"}, ""},
		"prepared and renamed": {"t", model.Query{ID: "e", Text: "EXEC p7 a b"}, nil, ""},
		"unknown":              {"t", model.Query{ID: "x", Text: "READ a"}, nil, "unasked"},
		"another text":         {"t", model.Query{ID: "q", Text: "READ b"}, map[string]string{"z": "1"}, "unasked"},
		"another argument":     {"t", model.Query{ID: "e", Text: "EXEC p7 a c"}, nil, "unasked"},
		"another team":         {"u", model.Query{ID: "q", Text: "READ a"}, map[string]string{"z": "1"}, "unasked"},
		"another's value":      {"t", model.Query{ID: "q", Text: "READ a"}, map[string]string{"z": "2"}, "pinned"},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLedger()
			l.ask("q", asked{team: "t", text: "READ a", values: map[string]string{"z": "1"}})
			l.ask("e", asked{team: "t", text: "EXEC s1 a b"})
			l.arrive(c.team, c.query, c.values)
			if c.breach == "" {
				require.Empty(t, l.breaches)
				return
			}
			require.Len(t, l.breaches, 1)
			require.Contains(t, l.breaches[0], c.breach)
		})
	}
}

func TestStatementInsideAnothersTransactionIsABreach(t *testing.T) {
	l := newLedger()
	l.ask("b", asked{team: "t", operation: "o1", text: "BEGIN"})
	l.ask("r", asked{team: "t", operation: "o2", text: "READ a"})
	link := &checkedLink{ledger: l, team: "t", values: map[string]string{}}
	link.check(model.Query{ID: "b", Text: "BEGIN"})
	require.Empty(t, l.breaches)
	link.check(model.Query{ID: "r", Text: "READ a"})
	require.Len(t, l.breaches, 1)
	require.Contains(t, l.breaches[0], "pinned")
}

func TestRatesAreCheckedInEveryWindow(t *testing.T) {
	const rate, burst = 10, 10
	allowed := int((rate*quotaWindow.Seconds()+burst)*quotaExcess) + slack
	for extra, breaches := range []int{0, 1} {
		l := newLedger()
		for n := range allowed + extra {
			l.arrivals["t"] = append(l.arrivals["t"], time.Unix(100, 0).Add(time.Duration(n)*time.Millisecond))
		}
		l.arrivals["t"] = append(l.arrivals["t"], time.Unix(100, 0).Add(2*quotaWindow))
		l.checkRates("t", rate, burst)
		require.Len(t, l.breaches, breaches)
	}
}
