package commands

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const metricsInterval = time.Second

// newMetrics returns the root scope of a VM's metrics and the HTTP handler from which a collector reads them.
func newMetrics(vm, domain string) (tally.Scope, http.Handler, io.Closer) {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "crocusshore",
		Tags:                   map[string]string{"vm": vm, "failure_domain": domain},
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        sanitizer(),
		OmitCardinalityMetrics: true,
	}, metricsInterval)
	return scope, reporter.HTTPHandler(), closer
}

// sanitizer restricts names to the characters that Prometheus accepts. Tag values may contain '-', '.' and '/' too, because they hold
// names of VMs, routes and the like, which must stay as they are.
func sanitizer() *tally.SanitizeOptions {
	options := prometheus.DefaultSanitizerOpts
	options.ValueCharacters = tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: []rune{'-', '_', '.', '/'},
	}
	return &options
}
