package bench

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Figures are the measurements of one bench by name; times are in seconds.
type Figures map[string]float64

// Result is the result of one bench, which is printed as text or JSON.
type Result struct {
	Name       string
	Seed       uint64
	Profile    string
	Figures    Figures
	Violations []string
}

// Options choose how a bench runs.
type Options struct {
	Profile Profile
	Seed    uint64
	// LoadTime is how long the load runs; 0 takes the default of the bench.
	LoadTime time.Duration
}

// timeOr returns the time for which the load runs: the chosen one, or else the default d.
func (o Options) timeOr(d time.Duration) time.Duration {
	if o.LoadTime > 0 {
		return o.LoadTime
	}
	return d
}

// Func runs one bench and returns its figures and the violations that were found.
type Func func(ctx context.Context, options Options) (Figures, []string, error)

var benches = map[string]Func{
	"fairness":    fairness,
	"control":     controlPlaneCost,
	"failover":    failover,
	"limits":      limits,
	"outage":      outage,
	"overhead":    overhead,
	"propagation": propagation,
	"replicas":    replicas,
}

// Names returns the names of the benches in alphabetical order.
func Names() []string {
	names := make([]string, 0, len(benches))
	for name := range benches {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Run runs a bench by its name.
func Run(ctx context.Context, name string, options Options) (Result, error) {
	run, ok := benches[name]
	if !ok {
		return Result{}, errors.Newf("the bench %q is not known; use one of %s", name, strings.Join(Names(), ", "))
	}
	figures, violations, err := run(ctx, options)
	if violations == nil {
		violations = []string{}
	}
	return Result{Name: name, Seed: options.Seed, Profile: options.Profile.Name, Figures: figures, Violations: violations}, err
}

// Text returns the result as readable text of several lines.
func (r Result) Text() string {
	names := make([]string, 0, len(r.Figures))
	for name := range r.Figures {
		names = append(names, name)
	}
	sort.Strings(names)
	var text strings.Builder
	fmt.Fprintf(&text, "%s, profile %s, seed %d\n", r.Name, r.Profile, r.Seed)
	for _, name := range names {
		fmt.Fprintf(&text, "  %-24s %g\n", name, r.Figures[name])
	}
	fmt.Fprintf(&text, "  violations: %d\n", len(r.Violations))
	for _, violation := range r.Violations {
		fmt.Fprintf(&text, "    %s\n", violation)
	}
	return text.String()
}
