package share

import (
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
)

const (
	// remember is how long the demand that another VM told counts; a VM that is cut off goes on using its part for as long.
	remember = 15 * time.Second
	// settled is how old a report of this VM must be before the VM itself relies on it: by then all others know it, so that
	// parts never add up to more than the rate while demand rises everywhere at once.
	settled = 2200 * time.Millisecond
	// keepReports bounds the reports of this VM that are kept.
	keepReports = 8
)

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
		// Team returns the limits of a team, and whether it exists.
		Team func(name model.TeamName) (policy.Team, bool)
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
		// own are the reports of this VM, oldest first.
		own []told
	}

	// Verdict tells whether an operation is admitted, and what that rests on.
	Verdict struct {
		Admitted bool
		// RetryAfter is when the next token of this VM is there.
		RetryAfter time.Duration
		// Part is what this VM may use of the team's rate, and Demand what it is asked for, in operations a second.
		Part, Demand float64
		// Fleet is what the other VMs told that they are asked for.
		Fleet float64
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
func (l *Limiter) Admit(now time.Time, limits policy.Team) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.team(limits.Name)
	part, _ := l.refill(now, limits, t)
	t.demand.count(now)
	after, ok := t.bucket.take(part)
	return Verdict{Admitted: ok, RetryAfter: after, Part: part, Demand: t.demand.read(now), Fleet: l.others(now, limits.Name)}
}

func (l *Limiter) team(name model.TeamName) *team {
	t := l.teams[name]
	if t == nil {
		t = &team{bucket: bucket{at: l.started}}
		l.teams[name] = t
	}
	return t
}

// refill brings a team's bucket to the present and returns the part of the rate and the size that it has.
func (l *Limiter) refill(now time.Time, limits policy.Team, t *team) (part, size float64) {
	vms := l.config.VMs()
	part = Split(limits.Rate, l.settled(now, limits.Name), l.others(now, limits.Name), vms)
	size = Size(limits, l.config.Slack, part, vms)
	t.bucket.refill(now, part, size)
	return part, size
}

// settled returns the demand of this VM as all others know it.
func (l *Limiter) settled(now time.Time, name model.TeamName) float64 {
	for i := len(l.own) - 1; i >= 0; i-- {
		if now.Sub(l.own[i].at) >= settled {
			return l.own[i].report.Demand[name]
		}
	}
	return 0
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

// Report returns the demand of this VM, which is about to be told to the others.
func (l *Limiter) Report(now time.Time, self model.VMID) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := Report{VM: self, Demand: map[model.TeamName]float64{}}
	for name, t := range l.teams {
		if demand := t.demand.read(now); demand >= leastTold {
			report.Demand[name] = float64(int(demand*100)) / 100
		}
	}
	l.own = append(l.own, told{report: report, at: now})
	if len(l.own) > keepReports {
		l.own = l.own[1:]
	}
	return report
}
