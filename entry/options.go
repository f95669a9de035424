package entry

import (
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/crocusshore/crocusshore/config"
)

// Options describe an entry; the zero value of an optional field takes the default.
type Options struct {
	Config config.Entry
	// Transport sends requests to the platform, the upstreams and the peers.
	Transport http.RoundTripper
	// Middleware wraps every listener's handler.
	Middleware func(http.Handler) http.Handler
	// Log takes the log lines; without it nothing is logged.
	Log *log.Logger
	// Metrics takes the metrics; without it nothing is measured.
	Metrics tally.Scope
	// MetricsHandler serves the metrics to a collector.
	MetricsHandler http.Handler
	// OnAdmitted is told of each request that a rate limit admits; it may be nil.
	OnAdmitted func(bucket string, at time.Time)
	// Now returns the present time.
	Now func() time.Time
	// BalancerDrainTime is how long a leaving entry goes on admitting callers that the balancer still sends.
	BalancerDrainTime time.Duration
}
