package share

import "github.com/crocusshore/crocusshore/policy"

// leastDemand is what a VM without demand counts as, in operations a second, so that a first caller is not refused.
const leastDemand = 0.3

// Split returns the part of a rate that a VM may use.
//
// The parts of VMs that know the same demands add up to the rate: what is not asked for is divided evenly, and where more is
// asked for than allowed, each VM gets its part of the demand.
func Split(rate, own, others float64, vms int) float64 {
	vms = max(1, vms)
	own = max(own, leastDemand)
	total := own + max(others, leastDemand*float64(vms-1))
	if total > rate {
		return rate * own / total
	}
	return own + (rate-total)/float64(vms)
}

const (
	// usedSlack is the share of the slack that is given out.
	usedSlack = 0.9
	// evenShare of the burst is divided evenly and the rest by the parts of the rate.
	evenShare = 0.4
)

// Size returns the burst of a VM that uses a part of a team's rate; the bursts of all VMs add up to the team's burst and the slack.
func Size(limits policy.Team, slack, part float64, vms int) float64 {
	all := limits.Burst + usedSlack*slack
	even := 1 / float64(max(1, vms))
	return max(1, all*(evenShare*even+(1-evenShare)*part/max(limits.Rate, part, 1e-9)))
}
