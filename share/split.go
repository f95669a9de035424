package share

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
