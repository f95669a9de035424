package share

import "github.com/crocusshore/crocusshore/policy"

// assumedDemand is the demand that is assumed for all VMs together on top of what they report, in operations per second.
const assumedDemand = 4

// Split returns the share of a rate that a failure domain may use, given its own demand and that of the others; weight is the share of the
// total demand that it expects without reports.
//
// The shares of failure domains that have received the same reports add up to the rate. If the total demand is below the rate, the
// remainder is divided by the weights; if it is above, each failure domain gets the rate in proportion to its demand.
func Split(rate, own, others, weight float64) float64 {
	own += assumedDemand * weight
	total := own + others + assumedDemand*(1-weight)
	if total > rate {
		return rate * own / total
	}
	return own + (rate-total)*weight
}

// Weight returns the share of the total demand that a failure domain expects: an even one, as callers are sent to the VMs of their own
// failure domain.
func Weight(domains int) float64 { return 1 / float64(max(1, domains)) }

const (
	// firstCallers is how many operations of a team a failure domain should be able to admit at once. Callers arrive at random, and with fewer
	// tokens some are refused although the team stays well within its rate.
	firstCallers = 8
	// burstSlackShare is the share of the slack that the buckets of a team may use whose own burst gives a failure domain less than firstCallers.
	burstSlackShare = 0.7
	// startSlackShare and startExcessShare are the shares of the slack and of the excess that the first buckets after a start may use. With the
	// bursts they leave half of the excess for a second start within a window.
	startSlackShare  = 0.25
	startExcessShare = 0.5
	// evenBurstShare is the share of the burst that is divided by the weights; the rest is divided by the shares of the rate.
	evenBurstShare = 0.4
)

// BurstSize returns the burst of a failure domain whose share of a team's rate is domainRate. The bursts of all failure domains add up to
// the team's burst, unless that leaves some with less than firstCallers: then they use the slack, up to burstSlackShare of it. Each is at least 1.
func BurstSize(limits policy.Team, slack, domainRate, weight float64) float64 {
	rateShare := domainRate / max(limits.Rate, domainRate, 1e-9)
	part := evenBurstShare*weight + (1-evenBurstShare)*rateShare
	own := part * limits.Burst
	return max(1, own, min(firstCallers, own+part*burstSlackShare*slack))
}

// StartTokens returns the tokens that a failure domain holds of a team when the VM that admits for it has just started. The whole burst may
// have been admitted before, so that they are at most firstCallers, within what the limit on a window allows beyond the rate and the burst.
func StartTokens(limits policy.Team, c Config, weight float64) float64 {
	usual := limits.Rate*c.Window.Seconds() + limits.Burst
	return min(firstCallers, weight*(startSlackShare*c.Slack+startExcessShare*c.Excess*usual))
}
