package entry

import (
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/crocusshore/crocusshore/config"
)

// Options configure a Server; an optional field with the zero value takes its default.
type Options struct {
	Config config.Entry
	// Transport sends requests to the platform, the upstreams and the peers.
	Transport http.RoundTripper
	// Middleware wraps the handler of every listener.
	Middleware func(http.Handler) http.Handler
	// Log receives the log lines; if it is nil, nothing is logged.
	Log *log.Logger
	// Metrics receives the metrics; if it is nil, none are recorded.
	Metrics tally.Scope
	// MetricsHandler serves the metrics on the operators' listener; if it is nil, they are not served.
	MetricsHandler http.Handler
	// OnAdmitted is called whenever the rate limit of a bucket admits a request; it may be nil.
	OnAdmitted func(bucket string, at time.Time)
	// Now returns the current time.
	Now func() time.Time
	// BalancerDrainTime is the time for which a server that is stopping still admits the callers that the load
	// balancer sends.
	BalancerDrainTime time.Duration
}
