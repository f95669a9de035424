package node

import (
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// metricPattern matches a line of the text format: a comment, or a metric with labels and a value.
var metricPattern = regexp.MustCompile(
	`^(#.*|[a-zA-Z_:][a-zA-Z0-9_:]*(\{([a-zA-Z_][a-zA-Z0-9_]*="([^"\\\n]|\\.)*",?)*\})? [0-9.eE+-]+|[a-z_]+ (NaN|[+-]Inf))$`,
)

// TestNamesDoNotBreakTheMetrics guards against a name in the settings that ends a line or a label of the metrics.
func TestNamesDoNotBreakTheMetrics(t *testing.T) {
	scope, handler, closer := newMetrics("vm\"} 1\nforged{x=\"y\\ größe")
	for _, outcome := range []string{"Done", "a\nforged 1", `a"} 1`, `a\`, "ü", "", "a b", "\xff"} {
		scope.Tagged(map[string]string{"outcome": outcome}).Counter("statements").Inc(1)
	}
	scope.Histogram("statement_latency", nil).RecordDuration(time.Millisecond)
	require.NoError(t, closer.Close())
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	require.Equal(t, 200, recorder.Code)
	ours := 0
	for line := range strings.Lines(recorder.Body.String()) {
		require.Regexp(t, metricPattern, strings.TrimSuffix(line, "\n"))
		require.False(t, strings.HasPrefix(line, "forged"), line)
		if strings.HasPrefix(line, "crocusshore_statements{") {
			ours++
		}
	}
	require.Positive(t, ours)
}
