package share

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
)

const (
	// firstTokenIntervals is how long a bucket has to fill for its first token, in intervals between tokens at an even share of the rate. It
	// is above 1 because the actual share is at times a little lower.
	firstTokenIntervals = 1.1
	// admitterRoles is the number of roles among which the teams are divided. VMs that admit for the same teams in different failure domains
	// report their demand to each other, so this number, and not that of the teams, bounds the messages between failure domains.
	admitterRoles = 16
)

// AdmitterRole returns the name of the role to admit the operations of a team in a failure domain. The first VM in the ranking for the
// role has it, for all teams of the role. The name depends on the team alone, so that all VMs find the same one.
func AdmitterRole(team model.TeamName) string {
	return "rate " + strconv.FormatUint(xxhash.Sum64String(string(team))%admitterRoles, 10)
}

// FallbackLimits returns the limits within which a VM may admit operations of a team while no VM that admits for the team answers. With
// them the VMs of a failure domain together do not exceed its even share of the rate and the burst.
func FallbackLimits(limits policy.Team, domains, vmsInDomain int) policy.Team {
	weight := Weight(domains) / float64(max(1, vmsInDomain))
	limits.Rate *= weight
	limits.Burst *= weight
	return limits
}

// FirstTokenStart returns when a bucket that a VM takes over must have started to fill so that it holds one token at now.
func FirstTokenStart(now time.Time, limits policy.Team, domains int) time.Time {
	return firstTokenStart(now, limits.Rate*Weight(domains))
}

// StandInStart returns how the bucket of a VM begins that admits in place of another: with one token at now.
func StandInStart(now time.Time, limits policy.Team, domains int) BucketStart {
	return BucketStart{FillFrom: firstTokenStart(now, standInShare*limits.Rate*Weight(domains)), StandIn: true}
}

func firstTokenStart(now time.Time, rate float64) time.Time {
	if rate <= 0 {
		return now
	}
	return now.Add(-time.Duration(firstTokenIntervals * float64(time.Second) / rate))
}
