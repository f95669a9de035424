package share

import (
	"slices"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
)

const (
	// remember is how long the demand that another VM told counts; a failure domain that is cut off goes on using its part meanwhile.
	remember = 30 * time.Second
	// settled is how old a report must be before a VM relies on it, also on its own: by then all others know it, so that parts
	// never add up to more than the rate while demand rises everywhere at once.
	settled = 2200 * time.Millisecond
	// keepReports bounds the reports of a VM that are kept.
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
		// Weight returns the part of a demand that this failure domain expects while nothing is known; all weights add up to 1.
		Weight func() float64
		// Team returns the limits of a team, and whether it exists.
		Team func(name model.TeamName) (policy.Team, bool)
		// Slack is how many operations above rate and burst the fleet may run in a window; it gives each failure domain a burst of its own.
		Slack float64
	}

	// Limiter admits operations within a VM's part of each team's rate; it is safe for concurrent use.
	Limiter struct {
		config  Config
		started time.Time

		mu    sync.Mutex
		teams map[model.TeamName]*team
		// reports are what each other VM told, and own what this one told, oldest first.
		reports []reporter
		own     history
	}

	// Verdict tells whether an operation is admitted, and what that rests on.
	Verdict struct {
		Admitted bool
		// RetryAfter is when the next token of this VM is there.
		RetryAfter time.Duration
		// Part is what the failure domain may use of the team's rate, and Demand what it is asked for, in operations a second.
		Part, Demand float64
		// Fleet is what the other failure domains told that they are asked for.
		Fleet float64
		// By is the VM that decided.
		By model.VMID
	}

	told struct {
		report Report
		at     time.Time
	}

	// reporter is another VM with what it told lately.
	reporter struct {
		vm   model.VMID
		told history
	}

	// history is what a VM told lately, oldest first.
	history []told

	team struct {
		demand meter
		bucket bucket
	}
)

// New returns a limiter whose buckets fill from now on, so that a restart grants nothing twice.
func New(now time.Time, config Config) *Limiter {
	return &Limiter{config: config, started: now, teams: map[model.TeamName]*team{}}
}

// Admit spends a token of a team, or tells when there is one; since is when this VM became the one that admits for the team, from
// when on a bucket that it did not have before fills.
func (l *Limiter) Admit(now time.Time, limits policy.Team, since time.Time) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.team(limits.Name, since)
	part, _ := l.refill(now, limits, t)
	t.demand.count(now)
	after, ok := t.bucket.take(part)
	return Verdict{Admitted: ok, RetryAfter: after, Part: part, Demand: t.demand.read(now), Fleet: l.others(now, limits.Name)}
}

func (l *Limiter) team(name model.TeamName, since time.Time) *team {
	t := l.teams[name]
	if t == nil {
		if since.Before(l.started) {
			since = l.started
		}
		t = &team{bucket: bucket{at: since}}
		l.teams[name] = t
	}
	return t
}

// refill brings a team's bucket to the present and returns the part of the rate and the size that it has.
func (l *Limiter) refill(now time.Time, limits policy.Team, t *team) (part, size float64) {
	weight := l.config.Weight()
	part = Split(limits.Rate, l.own.settled(now, limits.Name), l.others(now, limits.Name), weight)
	size = Size(limits, l.config.Slack, part, weight)
	t.bucket.refill(now, part, size)
	return part, size
}

// others returns what the other VMs told that they are asked for.
func (l *Limiter) others(now time.Time, name model.TeamName) float64 {
	total := 0.0
	for _, r := range l.reports {
		if !r.told.silent(now) {
			total += r.told.settled(now, name)
		}
	}
	return total
}

// Hear records what another VM told.
func (l *Limiter) Hear(now time.Time, report Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports = slices.DeleteFunc(l.reports, func(r reporter) bool { return r.vm != report.VM && r.told.silent(now) })
	at := slices.IndexFunc(l.reports, func(r reporter) bool { return r.vm == report.VM })
	if at < 0 {
		at = len(l.reports)
		l.reports = append(l.reports, reporter{vm: report.VM})
	}
	l.reports[at].told = l.reports[at].told.add(told{report: report, at: now})
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
	l.own = l.own.add(told{report: report, at: now})
	return report
}

func (h history) add(t told) history {
	h = append(h, t)
	if len(h) > keepReports {
		h = h[1:]
	}
	return h
}

// settled returns the demand that all VMs know by now.
func (h history) settled(now time.Time, name model.TeamName) float64 {
	for i := len(h) - 1; i >= 0; i-- {
		if now.Sub(h[i].at) >= settled {
			return h[i].report.Demand[name]
		}
	}
	return 0
}

// silent tells whether the VM has told nothing for so long that its demand does not count any more.
func (h history) silent(now time.Time) bool {
	return len(h) == 0 || now.Sub(h[len(h)-1].at) > remember
}
