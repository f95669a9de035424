package conns

const (
	// reservedConnections of an instance stay free for orders and for VMs that count themselves differently.
	reservedConnections = 7
	// otherDomainWeight is what a VM of another failure domain counts at a replica, which VMs of its own failure domain prefer.
	otherDomainWeight = 0.3
	// minBudget lets each VM reach each instance while it knows no home.
	minBudget = 1
)

// EqualShare returns the part of a VM in the connections that an instance takes, if all VMs of a failure domain held the same.
//
// Every VM of the instance's failure domain counts once, and the others count less unless the instance is the primary.
func EqualShare(maxConnections, localVMs, otherVMs int, local, primary bool) float64 {
	otherWeight := otherDomainWeight
	if primary {
		otherWeight = 1
	}
	total := float64(localVMs) + otherWeight*float64(otherVMs)
	ownWeight := otherWeight
	if local {
		ownWeight = 1
	}
	return float64(maxConnections-reservedConnections) * ownWeight / max(total, 1)
}
