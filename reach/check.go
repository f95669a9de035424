package reach

import "time"

// Check decides at one VM whether the VM is isolated, once the VM has learned that its failure domain is lost. Without it, the VMs of a failure domain
// would leave the rotation if only its reader were cut off. It is not safe for concurrent use.
type Check struct {
	rounds   rounds
	lost     bool
	running  bool
	isolated bool
}

// Learn records whether the reader finds the failure domain lost. A check starts each time the failure domain becomes lost. If it no longer is, a
// check ends, unless it already found the VM isolated: the next reader may have no evidence of its own yet.
func (c *Check) Learn(lost bool) {
	if lost && !c.lost && !c.isolated {
		c.rounds, c.running = rounds{}, true
	}
	if !lost && !c.isolated {
		c.running = false
	}
	c.lost = lost
}

// Running reports whether the check sends rounds of probes.
func (c *Check) Running() bool { return c.running }

// Round ends a round of probes and begins the next, whose probes the VM sends now if the check still runs, and reports whether the VM is
// isolated. The check ends with the first answer of anything outside the failure domain.
func (c *Check) Round(now time.Time, contact Contact, conclusive bool) bool {
	if !c.running {
		return false
	}
	if c.rounds.answered(contact) {
		c.running, c.isolated = false, false
		return false
	}
	c.rounds.next(now, contact, conclusive)
	if c.rounds.unanswered >= checkRounds && contact.storeSilent(now) {
		c.isolated = true
	}
	return c.isolated
}
