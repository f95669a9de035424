package share

import (
	"slices"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
)

const (
	// reportTTL is how long the demand that another VM told counts; a failure domain that is cut off goes on using its part meanwhile.
	reportTTL = 30 * time.Second
	// reportSettleTime is how old a report must be before a VM relies on it, also on its own: by then all others know it, so that parts
	// never add up to more than the rate while demand rises everywhere at once.
	reportSettleTime = 2200 * time.Millisecond
	// maxReports bounds the reports of a VM that are kept.
	maxReports = 8
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
		// peers are what each other VM told, and own what this one told, oldest first.
		peers []peerHistory
		own   history
	}

	// Decision tells whether an operation is admitted, and what that rests on.
	Decision struct {
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

	timedReport struct {
		report Report
		at     time.Time
	}

	// peerHistory is another VM with what it told lately.
	peerHistory struct {
		vm      model.VMID
		reports history
	}

	// history is what a VM told lately, oldest first.
	history []timedReport

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
func (l *Limiter) Admit(now time.Time, limits policy.Team, fillFrom time.Time) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.team(limits.Name, fillFrom)
	part, _ := l.refill(now, limits, t)
	t.demand.count(now)
	after, ok := t.bucket.take(part)
	return Decision{Admitted: ok, RetryAfter: after, Part: part, Demand: t.demand.read(now), Fleet: l.others(now, limits.Name)}
}

func (l *Limiter) team(name model.TeamName, fillFrom time.Time) *team {
	t := l.teams[name]
	if t == nil {
		if fillFrom.Before(l.started) {
			fillFrom = l.started
		}
		t = &team{bucket: bucket{at: fillFrom}}
		l.teams[name] = t
	}
	return t
}

// refill brings a team's bucket to the present and returns the part of the rate and the size that it has.
func (l *Limiter) refill(now time.Time, limits policy.Team, t *team) (part, size float64) {
	weight := l.config.Weight()
	part = Split(limits.Rate, l.own.settledDemand(now, limits.Name), l.others(now, limits.Name), weight)
	size = BurstSize(limits, l.config.Slack, part, weight)
	t.bucket.refill(now, part, size)
	return part, size
}

// others returns what the other VMs told that they are asked for.
func (l *Limiter) others(now time.Time, name model.TeamName) float64 {
	total := 0.0
	for _, r := range l.peers {
		if !r.reports.isExpired(now) {
			total += r.reports.settledDemand(now, name)
		}
	}
	return total
}

// RecordReport records what another VM told.
func (l *Limiter) RecordReport(now time.Time, report Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers = slices.DeleteFunc(l.peers, func(r peerHistory) bool { return r.vm != report.VM && r.reports.isExpired(now) })
	at := slices.IndexFunc(l.peers, func(r peerHistory) bool { return r.vm == report.VM })
	if at < 0 {
		at = len(l.peers)
		l.peers = append(l.peers, peerHistory{vm: report.VM})
	}
	l.peers[at].reports = l.peers[at].reports.add(timedReport{report: report, at: now})
}

// minReportedDemand is the demand below which a team is left out of a report.
const minReportedDemand = 0.05

// Report returns the demand of this VM, which is about to be told to the others.
func (l *Limiter) Report(now time.Time, self model.VMID) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := Report{VM: self, Demand: map[model.TeamName]float64{}}
	for name, t := range l.teams {
		if demand := t.demand.read(now); demand >= minReportedDemand {
			report.Demand[name] = float64(int(demand*100)) / 100
		}
	}
	l.own = l.own.add(timedReport{report: report, at: now})
	return report
}

func (h history) add(t timedReport) history {
	h = append(h, t)
	if len(h) > maxReports {
		h = h[1:]
	}
	return h
}

// settledDemand returns the demand that all VMs know by now.
func (h history) settledDemand(now time.Time, name model.TeamName) float64 {
	for i := len(h) - 1; i >= 0; i-- {
		if now.Sub(h[i].at) >= reportSettleTime {
			return h[i].report.Demand[name]
		}
	}
	return 0
}

// isExpired tells whether the VM has told nothing for so long that its demand does not count any more.
func (h history) isExpired(now time.Time) bool {
	return len(h) == 0 || now.Sub(h[len(h)-1].at) > reportTTL
}
