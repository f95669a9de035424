package reach

import "time"

// DomainDetector decides at the reader of a failure domain whether the domain is lost, that is cut off from all other failure domains and
// from the store. It is not safe for concurrent use.
//
// It addresses the load on a failure domain that is cut off: until the slower rule of IsolationDetector applies, the load balancer sends callers to VMs
// that can serve none of them.
type DomainDetector struct {
	rounds rounds
	lost   bool
}

// Round ends a round of probes and begins the next, whose probes the reader sends now, and reports whether the failure domain is lost. The
// round is conclusive if its probes go to VMs that would answer; see Targets.
//
// In an outage of the store alone, VMs of other failure domains answer. If all probed VMs fail, the store answers. A domain stays lost until
// anything outside it answers.
func (d *DomainDetector) Round(now time.Time, contact Contact, conclusive bool) bool {
	answered := d.rounds.answered(contact)
	d.rounds.next(now, contact, conclusive)
	if d.lost {
		d.lost = !answered
	} else {
		d.lost = d.rounds.unanswered >= lostRounds && contact.storeSilent(now)
	}
	return d.lost
}
