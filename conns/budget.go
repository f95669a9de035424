package conns

const (
	// spareConnections of an instance stay free for orders and for VMs that count themselves differently.
	spareConnections = 7
	// farWeight is what a VM of another failure domain counts at a replica, which VMs of its own failure domain prefer.
	farWeight = 0.3
	// leastBudget lets each VM reach each instance while it knows no home.
	leastBudget = 1
)

// Part returns the part of a VM in the connections that an instance takes, if all VMs of a failure domain held the same.
//
// Every VM of the instance's failure domain counts once, and the others count less unless the instance is the primary.
func Part(most, near, far int, local, primary bool) float64 {
	others := farWeight
	if primary {
		others = 1
	}
	total := float64(near) + others*float64(far)
	own := others
	if local {
		own = 1
	}
	return float64(most-spareConnections) * own / max(total, 1)
}
