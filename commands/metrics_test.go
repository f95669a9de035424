package commands

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestMetricsHandlerServesCounters(t *testing.T) {
	scope, handler, closer := newMetrics("East-01", "East")
	scope.Tagged(map[string]string{"route": "Orders"}).Counter("requests").Inc(3)
	scope.Timer("latency").Record(time.Millisecond)
	require.NoError(t, closer.Close())
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	require.Contains(t, recorder.Body.String(), `crocusshore_requests{failure_domain="East",route="Orders",vm="East-01"} 3`)
}
