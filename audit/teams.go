package audit

import (
	"fmt"
	"time"
)

// minBurstTime is the time between two messages in which VMs pass tokens of a rate to each other. What accrues meanwhile is lost beyond the burst.
const minBurstTime = 60 * time.Millisecond

func (c *checker) checkTeams() {
	for _, t := range c.draft.Teams {
		c.checkRate(t)
	}
	checkNames(c, TermTeam, c.draft.Teams, func(t Team) (Entry, string) { return t.Entry, string(t.Name) })
}

func (c *checker) checkRate(t Team) {
	rate, burst := c.word(TermRate), c.word(TermBurst)
	if t.Rate <= 0 {
		c.addError(t.Entry, TermRate, rate+" is missing or not above 0, and nearly every operation is refused",
			"use the operations a second; to shut the "+c.word(TermTeam)+" out, remove its keys")
		return
	}
	if least := max(1, t.Rate*minBurstTime.Seconds()); t.Burst < least {
		c.addWarning(t.Entry, TermBurst, fmt.Sprintf("%s %s is too small for %s %s, which gives %s operations in %s ms", burst, number(t.Burst), rate, number(t.Rate),
			number(t.Rate*minBurstTime.Seconds()), millis(minBurstTime)), fmt.Sprintf("use a %s of at least %s", burst, number(least)))
	}
}

// checkKeys reports keys without effect. It does not print them.
func (c *checker) checkKeys() {
	owners := map[string]Team{}
	for _, t := range c.draft.Teams {
		if !t.usable() {
			continue
		}
		if len(t.usableKeys()) == 0 {
			c.addWarning(t.Entry, TermKeys, "the "+c.named(TermTeam, string(t.Name))+" has no usable key, and no caller can act for it", "add a key, or remove it")
		}
		for _, key := range t.Keys {
			c.checkKey(t, key, owners)
		}
	}
}

func (c *checker) checkKey(t Team, key Key, owners map[string]Team) {
	owner, known := owners[key.Text]
	switch {
	case key.Text == "":
		c.reportAt(SeverityError, key.Place, "the key is empty, and callers without a key act for the "+c.named(TermTeam, string(t.Name)), "remove it")
	case key.Unsendable:
		c.reportAt(SeverityError, key.Place, "no message can hold the key, and VMs skip it", "use a key in UTF-8 without line ends")
	case known && owner.Name == t.Name:
		c.reportAt(SeverityWarning, key.Place, "the key stands twice", "remove one of the two")
	case known:
		c.reportAt(SeverityError, key.Place, fmt.Sprintf("the %s at line %d has the same key, and only the last one counts",
			c.named(TermTeam, string(owner.Name)), owner.Place.Line), "remove it from one of them, or issue another one")
	}
	owners[key.Text] = t
}
