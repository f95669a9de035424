package audit

import (
	"fmt"
	"strings"
	"time"

	"github.com/crocusshore/crocusshore/policy"
)

// minMaxAge is the least staleness with which reads usually find a replica: log positions are sampled every 100 ms, and 30 ms of the allowed
// staleness cover the network delay to the instance.
const minMaxAge = 130 * time.Millisecond

func (c *checker) checkRoutes() {
	groups := groupsByName(c.draft)
	first := map[string]Route{}
	for _, r := range c.draft.Routes {
		c.checkUse(r)
		if _, known := groups[r.Group]; !known {
			c.addError(r.Entry, TermRouteGroup, fmt.Sprintf("the %s is not in the settings: statements are refused unless instances are registered for it, which VMs use with default limits",
				c.named(TermGroup, string(r.Group))), fmt.Sprintf("add the %s, or name one that exists", c.word(TermGroup)))
		}
		c.checkTimes(r)
		c.checkMaxAge(r)
		if !r.usable() {
			continue
		}
		if other, known := first[r.Database]; known {
			c.addError(r.Entry, TermDatabase, fmt.Sprintf("the %s at line %d has the same %s %q and is never used, as the last one counts",
				c.named(TermRoute, string(other.Name)), other.Place.Line, c.word(TermDatabase), r.Database), "remove one of the two or change its "+c.word(TermDatabase))
		}
		first[r.Database] = r
	}
}

// checkUse reports why VMs skip a route.
func (c *checker) checkUse(r Route) {
	if r.Consistency == "" {
		c.addError(r.Entry, TermConsistency, fmt.Sprintf("the %s %q is not known, and VMs skip the %s", c.word(TermConsistency), r.ConsistencyWord, c.word(TermRoute)),
			"use one of: "+strings.Join(c.draft.Consistencies, ", "))
	}
	if r.isUnsendable(TermDatabase) {
		c.reportUnsendable(r.Entry, TermRoute, TermDatabase, r.Database)
	}
}

func (c *checker) checkTimes(r Route) {
	timeout, target := c.word(TermTimeout), c.word(TermTargetLatency)
	switch {
	case r.Timeout <= 0:
		c.addError(r.Entry, TermTimeout, timeout+" is missing or not above 0, and no statement ends in time", "use the longest time that a statement may take")
	case r.Timeout < r.TargetLatency:
		c.addWarning(r.Entry, TermTimeout, fmt.Sprintf("%s %s is below %s %s, and statements end before the objective counts", timeout, millis(r.Timeout), target, millis(r.TargetLatency)),
			fmt.Sprintf("raise %s or lower %s", timeout, target))
	}
	if r.TargetLatency < 0 {
		c.addError(r.Entry, TermTargetLatency, target+" is below 0", "use the latency objective of an operation")
	}
}

// checkMaxAge checks the staleness of a route that replicas may serve.
func (c *checker) checkMaxAge(r Route) {
	if r.Consistency == "" || r.Consistency == policy.ConsistencyPrimary {
		return
	}
	age, advice := c.word(TermMaxAge), "use the longest staleness that the reads allow, at least "+millis(minMaxAge)
	switch {
	case r.MaxAge <= 0:
		c.addWarning(r.Entry, TermMaxAge, age+" is missing or not above 0, and replicas can hardly serve reads", advice)
	case r.MaxAge < minMaxAge:
		c.addWarning(r.Entry, TermMaxAge, fmt.Sprintf("%s %s is very small, and replicas can seldom serve reads", age, millis(r.MaxAge)), advice)
	}
}
