package share

import "github.com/crocusshore/crocusshore/policy"

// assumedDemand is the demand that is counted for all VMs together where none is known, in operations a second.
const assumedDemand = 4

// Split returns the part of a rate that a failure domain may use; weight is the part of the demand that it expects while nothing is
// known.
//
// The parts of failure domains that know the same demands add up to the rate: what is not asked for is divided by the weights, and where more
// is asked for than allowed, each gets its part of the demand.
func Split(rate, own, others, weight float64) float64 {
	own += assumedDemand * weight
	total := own + others + assumedDemand*(1-weight)
	if total > rate {
		return rate * own / total
	}
	return own + (rate-total)*weight
}

// Weight returns what the VM that admits for a failure domain expects of a demand, as callers are sent to the VMs of their own.
func Weight(domains int) float64 { return 1 / float64(max(1, domains)) }

const (
	// slackShare is the share of the slack that is given out.
	slackShare = 0.9
	// evenBurstShare of the burst is divided by the weights and the rest by the parts of the rate.
	evenBurstShare = 0.4
)

// BurstSize returns the burst of a failure domain that uses a part of a team's rate; the bursts of all add up to the team's burst and the slack.
func BurstSize(limits policy.Team, slack, part, weight float64) float64 {
	all := limits.Burst + slackShare*slack
	return max(1, all*(evenBurstShare*weight+(1-evenBurstShare)*part/max(limits.Rate, part, 1e-9)))
}
