package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

// writtenHistory returns a history in which one item has an acknowledged, a refused and an acknowledged value.
func writtenHistory() *history {
	h := newHistory()
	for n, o := range []outcome{outcomeAcked, outcomeRefused, outcomeAcked} {
		value := string(rune('1' + n))
		h.recordWrite("item", model.RequestID("w"+value), value)
		h.recordOutcome("item", model.RequestID("w"+value), o)
	}
	return h
}

// TestStaleRefusedAndForeignValuesAreViolations violates each invariant of reads once.
func TestStaleRefusedAndForeignValuesAreViolations(t *testing.T) {
	for name, c := range map[string]struct {
		value     string
		minValues int
		violation string
	}{
		"newest value":              {"3", 3, ""},
		"oldest allowed value":      {"1", 1, ""},
		"nothing acknowledged yet":  {"", 0, ""},
		"older than allowed":        {"1", 3, "stale"},
		"empty after acknowledging": {"", 1, "stale"},
		"value of a refused write":  {"2", 1, "kept"},
		"value that nobody wrote":   {"9", 0, "mixed"},
	} {
		t.Run(name, func(t *testing.T) {
			h := writtenHistory()
			h.checkRead("item", c.value, c.minValues, "reader")
			if c.violation == "" {
				require.Empty(t, h.violations)
				return
			}
			require.Len(t, h.violations, 1)
			require.Contains(t, h.violations[0], c.violation)
		})
	}
}

func TestLastAckedNumberIgnoresLaterAcknowledgements(t *testing.T) {
	h := writtenHistory()
	require.Equal(t, 3, h.lastAckedNumber("item", time.Now().Add(time.Second)))
	require.Zero(t, h.lastAckedNumber("item", time.Now().Add(-time.Second)))
}

// TestAlteredStatementsAreViolations violates each invariant of the statements that reach an instance once.
func TestAlteredStatementsAreViolations(t *testing.T) {
	for name, c := range map[string]struct {
		team      model.TeamName
		query     model.Query
		values    map[string]string
		violation string
	}{
		"as sent":              {"t", model.Query{ID: "q", Text: "READ a"}, map[string]string{"z": "1"}, ""},
		"prepared and renamed": {"t", model.Query{ID: "e", Text: "EXEC p7 a b"}, nil, ""},
		"unknown":              {"t", model.Query{ID: "x", Text: "READ a"}, nil, "unasked"},
		"another text":         {"t", model.Query{ID: "q", Text: "READ b"}, map[string]string{"z": "1"}, "unasked"},
		"another argument":     {"t", model.Query{ID: "e", Text: "EXEC p7 a c"}, nil, "unasked"},
		"a cut argument":       {"t", model.Query{ID: "l", Text: "WRITE a  b"}, nil, "unasked"},
		"without its last CR":  {"t", model.Query{ID: "l", Text: "WRITE a  b\n c "}, nil, "unasked"},
		"byte for byte":        {"t", model.Query{ID: "l", Text: "WRITE a  b\n c \r"}, nil, ""},
		"another team":         {"u", model.Query{ID: "q", Text: "READ a"}, map[string]string{"z": "1"}, "unasked"},
		"another value":        {"t", model.Query{ID: "q", Text: "READ a"}, map[string]string{"z": "2"}, "pinned"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHistory()
			h.recordSent("q", sentStatement{team: "t", text: "READ a", values: map[string]string{"z": "1"}})
			h.recordSent("e", sentStatement{team: "t", text: "EXEC s1 a b"})
			h.recordSent("l", sentStatement{team: "t", text: "WRITE a  b\n c \r"})
			h.checkArrival(c.team, c.query, c.values)
			if c.violation == "" {
				require.Empty(t, h.violations)
				return
			}
			require.Len(t, h.violations, 1)
			require.Contains(t, h.violations[0], c.violation)
		})
	}
}

func TestStatementInsideAnothersTransactionIsAViolation(t *testing.T) {
	h := newHistory()
	h.recordSent("b", sentStatement{team: "t", operation: "o1", text: "BEGIN"})
	h.recordSent("r", sentStatement{team: "t", operation: "o2", text: "READ a"})
	conn := newCheckedConn(nil, h, "t", "i")
	conn.check(model.Query{ID: "b", Text: "BEGIN"})
	require.Empty(t, h.violations)
	conn.check(model.Query{ID: "r", Text: "READ a"})
	require.Len(t, h.violations, 1)
	require.Contains(t, h.violations[0], "pinned")
}

func TestRateAboveTheLimitInAnyWindowIsAViolation(t *testing.T) {
	const rate, burst = 10, 10
	allowed := int((rate*rateWindow.Seconds()+burst)*rateTolerance) + rateSlack
	for extra, violations := range []int{0, 1} {
		h := newHistory()
		for n := range allowed + extra {
			h.arrivals["t"] = append(h.arrivals["t"], arrival{at: time.Unix(100, 0).Add(time.Duration(n) * time.Millisecond)})
		}
		h.arrivals["t"] = append(h.arrivals["t"], arrival{at: time.Unix(100, 0).Add(2 * rateWindow)})
		h.checkRates("t", rate, burst)
		require.Len(t, h.violations, violations)
	}
}
