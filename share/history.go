package share

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
)

type (
	// timedReport is a report and when it was received or, for an own one, made.
	timedReport struct {
		report Report
		at     time.Time
	}

	// peerHistory is another VM with its latest reports.
	peerHistory struct {
		vm      model.VMID
		reports history
	}

	// history holds the latest reports of a VM, oldest first.
	history []timedReport
)

// domain returns the failure domain of the VM, or a name of its own if it told none.
func (p peerHistory) domain() model.Domain {
	if last := p.reports[len(p.reports)-1].report; last.Domain != "" {
		return last.Domain
	}
	return model.Domain("VM " + p.vm)
}

// add records a report of the VM, unless it comes after a newer one: datagrams may overtake each other.
func (p *peerHistory) add(t timedReport) {
	if len(p.reports) == 0 || !t.isOvertaken(p.reports[len(p.reports)-1]) {
		p.reports = p.reports.add(t)
	}
}

// isOvertaken reports whether a report is older than the one that came last. Processes of a VM have growing numbers, unless its clock was set back.
func (t timedReport) isOvertaken(last timedReport) bool {
	if t.report.Process == last.report.Process {
		return t.report.Number < last.report.Number
	}
	return t.report.Process < last.report.Process && t.at.Sub(last.at) < maxOvertakingTime
}

func (h history) add(t timedReport) history {
	h = append(h, t)
	if len(h) > maxReports {
		h = h[1:]
	}
	return h
}

// lastDemand returns the demand in the last report.
func (h history) lastDemand(name model.TeamName) float64 {
	if len(h) == 0 {
		return 0
	}
	return h[len(h)-1].report.Demand[name]
}

// settledDemand returns the demand in the newest report that all VMs have received by now.
func (h history) settledDemand(now time.Time, name model.TeamName) float64 {
	for i := len(h) - 1; i >= 0; i-- {
		if now.Sub(h[i].at) >= reportSettleTime {
			return h[i].report.Demand[name]
		}
	}
	return 0
}

// knownDemand returns the demand for a team in the newest report that all VMs have received by now and that has a figure for it, if any.
func (h history) knownDemand(now time.Time, name model.TeamName) (float64, bool) {
	for i := len(h) - 1; i >= 0; i-- {
		if demand, known := h[i].report.Demand[name]; known && now.Sub(h[i].at) >= reportSettleTime {
			return demand, true
		}
	}
	return 0, false
}

// isExpired reports whether the last report is so old that the demand of the VM no longer counts.
func (h history) isExpired(now time.Time) bool {
	return len(h) == 0 || now.Sub(h[len(h)-1].at) > reportTTL
}
