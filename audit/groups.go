package audit

import (
	"fmt"

	"github.com/crocusshore/crocusshore/policy"
)

func (c *checker) checkGroups() {
	teams := len(teamsByName(c.draft))
	for _, g := range c.draft.Groups {
		c.checkConnections(g, teams)
		c.checkCold(g)
	}
	checkNames(c, TermGroup, c.draft.Groups, func(g Group) (Entry, string) { return g.Entry, string(g.Name) })
}

// checkConnections checks the limit on connections of a group that is used by a number of teams.
func (c *checker) checkConnections(g Group, teams int) {
	word := c.word(TermMaxConnections)
	switch needed := policy.MinConnectionsPerTeam * teams; {
	case g.MaxConnections <= 0:
		c.addWarning(g.Entry, TermMaxConnections, word+" is missing or not above 0, and VMs assume a small number", "use the number of connections that an instance accepts")
	case g.MaxConnections < needed:
		c.addWarning(g.Entry, TermMaxConnections, fmt.Sprintf("%s %d is less than %d for each %s (%d), and statements wait for each other's connections",
			word, g.MaxConnections, policy.MinConnectionsPerTeam, c.word(TermTeam), needed),
			fmt.Sprintf("use at least %d if the instances accept as many", needed))
	}
}

func (c *checker) checkCold(g Group) {
	rate, duration := c.word(TermColdRate), c.word(TermColdTime)
	if g.ColdRate < 0 {
		c.addError(g.Entry, TermColdRate, rate+" is below 0", "use the statements a second to a cold instance, or remove it")
	}
	if g.ColdRate > 0 && g.ColdTime <= 0 {
		c.addWarning(g.Entry, TermColdRate, fmt.Sprintf("%s is set without %s", rate, duration), fmt.Sprintf("add %s, or remove %s", duration, rate))
	}
}
