package share

import (
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
)

// remember is how long the demand that another VM told counts; a VM that is cut off goes on using its part for as long.
const remember = 15 * time.Second

type (
	// Report is the demand that a VM tells to the others, in operations a second.
	Report struct {
		VM     model.VMID
		Demand map[model.TeamName]float64
	}

	// Config tells a limiter about the fleet.
	Config struct {
		// VMs returns how many VMs there are.
		VMs func() int
		// Slack is how many operations above rate and burst the fleet may run in a window; it gives each VM a burst of its own.
		Slack float64
	}

	// Limiter admits operations within a VM's part of each team's rate; it is safe for concurrent use.
	Limiter struct {
		config  Config
		started time.Time

		mu      sync.Mutex
		teams   map[model.TeamName]*team
		reports map[model.VMID]told
	}

	told struct {
		report Report
		at     time.Time
	}

	team struct {
		demand meter
		bucket bucket
	}
)

// New returns a limiter whose buckets fill from now on, so that a restart grants nothing twice.
func New(now time.Time, config Config) *Limiter {
	return &Limiter{config: config, started: now, teams: map[model.TeamName]*team{}, reports: map[model.VMID]told{}}
}

// Admit spends a token of a team, or tells when there is one.
func (l *Limiter) Admit(now time.Time, limits policy.Team) (retryAfter time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.teams[limits.Name]
	if t == nil {
		t = &team{bucket: bucket{at: l.started}}
		l.teams[limits.Name] = t
	}
	vms := l.config.VMs()
	part := Split(limits.Rate, t.demand.read(now), l.others(now, limits.Name), vms)
	t.demand.count(now)
	size := Size(limits, l.config.Slack, part, vms)
	t.bucket.refill(now, part, size)
	return t.bucket.take(part)
}

// others returns what the other VMs told that they are asked for.
func (l *Limiter) others(now time.Time, name model.TeamName) float64 {
	total := 0.0
	for vm, t := range l.reports {
		if now.Sub(t.at) > remember {
			delete(l.reports, vm)
			continue
		}
		total += t.report.Demand[name]
	}
	return total
}

// Hear records what another VM told.
func (l *Limiter) Hear(now time.Time, report Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports[report.VM] = told{report: report, at: now}
}

// leastTold is the demand below which a team is left out of a report.
const leastTold = 0.05

// Report returns the demand of this VM.
func (l *Limiter) Report(now time.Time, self model.VMID) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := Report{VM: self, Demand: map[model.TeamName]float64{}}
	for name, t := range l.teams {
		if demand := t.demand.read(now); demand >= leastTold {
			report.Demand[name] = float64(int(demand*100)) / 100
		}
	}
	return report
}
