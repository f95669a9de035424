package share

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
)

// firstTokenIntervals is how many times the interval between tokens a bucket fills for its first one, since its part of the rate is at
// times a little less than even.
const firstTokenIntervals = 1.1

// AdmitterRole names the duty to admit the operations of a team in a failure domain; the first VM in its ranking has it.
func AdmitterRole(team model.TeamName) string { return "rate " + string(team) }

// FallbackLimits returns what a VM may admit of a team while no VM that admits for it answers, so that the VMs of a failure domain do
// not use more than its part together.
func FallbackLimits(limits policy.Team, domains, vmsInDomain int) policy.Team {
	weight := Weight(domains) / float64(max(1, vmsInDomain))
	limits.Rate *= weight
	limits.Burst *= weight
	return limits
}

// FirstTokenStart returns since when a bucket that a VM takes over fills, so that it holds one token at now.
func FirstTokenStart(now time.Time, limits policy.Team, domains int) time.Time {
	rate := limits.Rate * Weight(domains)
	if rate <= 0 {
		return now
	}
	return now.Add(-time.Duration(firstTokenIntervals * float64(time.Second) / rate))
}
