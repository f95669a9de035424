package conns

const (
	// reservedConnections is the number of connections to an instance that the budgets leave free, for administrative statements and because
	// VMs may differ in how many VMs they count.
	reservedConnections = 7
	// otherDomainWeight is the weight of a VM of another failure domain at a replica, which is mostly used by VMs of its own failure domain.
	otherDomainWeight = 0.3
	// minBudget lets each VM reach each instance while its cached state names no owner of connections.
	minBudget = 1
)

// EqualShare returns the number of connections to an instance that one VM would get if all VMs of a failure domain got the same number.
// localVMs and otherVMs count the VMs inside and outside the instance's failure domain; local is set if this VM is inside.
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
