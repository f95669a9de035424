package share

import (
	"slices"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
)

const (
	// maxOvertakingTime bounds how much later than a newer report an older one of an earlier process may come.
	maxOvertakingTime = 2 * time.Second
	// reportTTL bounds how long the last report of another VM counts; a failure domain that is partitioned continues to use its share of
	// the rate meanwhile.
	reportTTL = 30 * time.Second
	// reportSettleTime is how old a report must be before a VM relies on it, even on its own report. By then all other VMs have received
	// the report, so that the shares never add up to more than the rate while demand rises everywhere at once.
	reportSettleTime = 2200 * time.Millisecond
	// maxSilence is how long a VM that runs may leave its limiter alone. After a longer time it was stopped, and another VM admitted in its
	// place, so its buckets fill for this time only.
	maxSilence = 250 * time.Millisecond
	// standInShare is the share of the failure domain's even share that a VM uses at most while it admits in place of another, because that one
	// may be slow only and admit for a part of the failure domain. It can get further tokens from other failure domains.
	standInShare = 0.5
	// minReports is how many reports a VM has made at least when it answers that it has no demand. One that has just started doesn't know yet.
	minReports = 3
	// standInReserve is the time for which the bucket of a VM that admits in place of another saves up tokens, besides one token.
	standInReserve = 100 * time.Millisecond
	// maxReports bounds the reports that are kept of each VM.
	maxReports = 8
)

type (
	// Report is the demand at a VM that it sends to the others, in operations per second.
	Report struct {
		VM model.VMID
		// Domain is the failure domain of the VM; if it is empty, the VM counts as one of its own.
		Domain model.Domain `json:",omitempty"`
		// Process names the process that reports, with a number that grows from one to the next, and Number the reports of it in their order; both are 0
		// if it told none.
		Process uint64 `json:",omitempty"`
		Number  uint64 `json:",omitempty"`
		Demand  map[model.TeamName]float64
	}

	// Config holds what a limiter needs of the settings and the other VMs.
	Config struct {
		// Domain is the failure domain of this VM.
		Domain model.Domain
		// Weight returns the share of the total demand that this failure domain expects without reports; all weights add up to 1.
		Weight func() float64
		// Team returns the limits of a team, and whether it exists.
		Team func(name model.TeamName) (policy.Team, bool)
		// Slack is how many operations of a team beyond its rate and burst all VMs together may admit in a Window, and Excess is how much more
		// as a share of its rate and burst. Small teams need the slack to be served in every failure domain, and all need some of both after a start.
		Slack, Excess float64
		Window        time.Duration
	}

	// BucketStart is how a bucket begins that a VM did not have before.
	BucketStart struct {
		// FillFrom is the instant from which it fills.
		FillFrom time.Time
		// AfterStart is set if this VM has just started, perhaps together with all others, so that it does not know what the failure domain
		// admitted before; see StartTokens.
		AfterStart bool
		// StandIn is set if this VM admits in place of another, which has a bucket of its own; this VM uses
		// a part of the even share then, and its bucket saves up little.
		StandIn bool
	}

	// Limiter admits operations within a VM's share of each team's rate; it is safe for concurrent use.
	Limiter struct {
		config  Config
		started time.Time
		// process names this process in its reports.
		process uint64

		mu sync.Mutex
		// ranAt is when this VM last showed that it runs.
		ranAt time.Time
		teams map[model.TeamName]*team
		// peers holds the reports of the other VMs, and own those of this one.
		peers []peerHistory
		own   history
		// reports is the number of the last own report.
		reports uint64
	}

	// Decision is the decision on an operation, with the figures that it rests on.
	Decision struct {
		Admitted bool
		// RetryAfter is the time until this VM has its next token.
		RetryAfter time.Duration
		// Part is the failure domain's share of the team's rate, and Demand the demand at it, both in operations per second.
		Part, Demand float64
		// Fleet is the demand that the other failure domains reported, in operations per second.
		Fleet float64
		// By is the VM that decided.
		By model.VMID
	}

	team struct {
		demand meter
		bucket bucket
		// standIn is set while this VM admits for the team in place of another.
		standIn bool
	}
)

// New returns a limiter whose buckets start to fill no earlier than now, so that a restart grants nothing twice.
func New(now time.Time, config Config) *Limiter {
	return &Limiter{config: config, started: now, process: uint64(now.UnixNano()), teams: map[model.TeamName]*team{}}
}

// Admit spends a token of a team, or returns when the next one is available. A bucket that this VM did not have before begins as start says.
func (l *Limiter) Admit(now time.Time, limits policy.Team, start BucketStart) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noteRunning(now)
	t := l.team(limits, start)
	domainRate, _ := l.refill(now, limits, t)
	t.demand.count(now)
	after, ok := t.bucket.take(domainRate)
	others, _ := l.othersDemand(now, limits.Name)
	return Decision{Admitted: ok, RetryAfter: after, Part: domainRate, Demand: t.demand.read(now), Fleet: others}
}

// NoteRunning records that this VM runs; it has to be called at intervals shorter than maxSilence.
func (l *Limiter) NoteRunning(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noteRunning(now)
}

// noteRunning is NoteRunning for callers that hold the lock. If the VM was stopped, its buckets fill for the last maxSilence only.
func (l *Limiter) noteRunning(now time.Time) {
	if fillFrom := now.Add(-maxSilence); !l.ranAt.IsZero() && l.ranAt.Before(fillFrom) {
		for _, t := range l.teams {
			t.bucket.skipTo(fillFrom)
		}
	}
	l.ranAt = now
}

func (l *Limiter) team(limits policy.Team, start BucketStart) *team {
	t := l.teams[limits.Name]
	if t == nil {
		t = l.newTeam(limits, start)
		l.teams[limits.Name] = t
	}
	t.standIn = start.StandIn
	return t
}

func (l *Limiter) newTeam(limits policy.Team, start BucketStart) *team {
	if start.FillFrom.Before(l.started) {
		start.FillFrom = l.started
	}
	t := &team{bucket: bucket{filledAt: start.FillFrom}}
	if start.AfterStart {
		t.bucket.tokens = StartTokens(limits, l.config, l.config.Weight())
	}
	return t
}

// refill brings a team's bucket up to date. It returns the failure domain's share of the team's rate and the size of the bucket. The even share
// of each failure domain whose demand is not known is left to it.
func (l *Limiter) refill(now time.Time, limits policy.Team, t *team) (domainRate, size float64) {
	weight := l.config.Weight()
	others, reported := l.othersDemand(now, limits.Name)
	known := min(1, float64(1+reported)*weight)
	domainRate = Split(known*limits.Rate, l.own.settledDemand(now, limits.Name), others, weight/known)
	if t.standIn {
		domainRate = min(domainRate, standInShare*weight*limits.Rate)
		size = 1 + domainRate*standInReserve.Seconds()
	} else {
		size = BurstSize(limits, l.config.Slack, domainRate, weight)
	}
	t.bucket.refill(now, domainRate, size)
	return domainRate, size
}

// othersDemand returns the total demand for a team that the other VMs reported, and how many failure domains reported any figure for it.
func (l *Limiter) othersDemand(now time.Time, name model.TeamName) (total float64, reported int) {
	var domains []model.Domain
	for _, p := range l.peers {
		demand, known := p.reports.knownDemand(now, name)
		if !known || p.reports.isExpired(now) {
			continue
		}
		total += demand
		if !slices.Contains(domains, p.domain()) {
			domains = append(domains, p.domain())
		}
	}
	return total, len(domains)
}

// RecordReport records a report of another VM, unless it is older than the last one, and drops the VMs whose last report no longer counts.
func (l *Limiter) RecordReport(now time.Time, report Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers = slices.DeleteFunc(l.peers, func(r peerHistory) bool { return r.vm != report.VM && r.reports.isExpired(now) })
	index := slices.IndexFunc(l.peers, func(r peerHistory) bool { return r.vm == report.VM })
	if index < 0 {
		index = len(l.peers)
		l.peers = append(l.peers, peerHistory{vm: report.VM})
	}
	l.peers[index].add(timedReport{report: report, at: now})
}

// minReportedDemand is the demand in operations per second below which a team is left out of a report.
const minReportedDemand = 0.05

// Report returns the demand at this VM, and records it as sent to the others; the caller sends it.
func (l *Limiter) Report(now time.Time, self model.VMID) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noteRunning(now)
	l.reports++
	report := l.emptyReport(self)
	for name, t := range l.teams {
		if demand := t.demand.read(now); demand >= minReportedDemand {
			report.Demand[name] = float64(int(demand*100)) / 100
		}
	}
	l.own = l.own.add(timedReport{report: report, at: now})
	return report
}

// ReportFor returns the demand in this VM's last report for the given teams, 0 for a team that is not in it. A VM that has just started leaves
// such a team out.
func (l *Limiter) ReportFor(self model.VMID, teams []model.TeamName) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := l.emptyReport(self)
	for _, name := range teams {
		if demand := l.own.lastDemand(name); demand > 0 || len(l.own) >= minReports {
			report.Demand[name] = demand
		}
	}
	return report
}

// emptyReport returns this VM's last report without its figures; the caller holds the lock.
func (l *Limiter) emptyReport(self model.VMID) Report {
	return Report{VM: self, Domain: l.config.Domain, Process: l.process, Number: l.reports, Demand: map[model.TeamName]float64{}}
}
