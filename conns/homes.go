package conns

import (
	"github.com/cespare/xxhash/v2"

	"github.com/crocusshore/crocusshore/model"
)

const (
	// mainOwners is how many VMs of a failure domain hold its connections to an instance, so that one may fail.
	mainOwners = 2
	// backupOwners is how many VMs step in for homes that do not answer.
	backupOwners = 2
	// backupBudget is how many connections such a VM may hold.
	backupBudget = 2
	// MaxOwners is how many VMs of a failure domain hold connections to an instance for others, backups included.
	MaxOwners = mainOwners + backupOwners
)

// OwnerRankKey names the duty to hold connections to an instance for a failure domain; the first MostHomes VMs in its ranking have it.
func OwnerRankKey(instance model.InstanceName) string { return "home " + string(instance) }

// OwnerOrder returns the ranks of homes in the order in which a team uses them: its usual home, whose connections already are that
// team's, then the others and then the backups.
func OwnerOrder(owners int, team model.TeamName) []int {
	main := min(mainOwners, owners)
	order := make([]int, 0, owners)
	first := 0
	if main > 0 {
		first = int(xxhash.Sum64String(string(team)) % uint64(main))
	}
	for i := range main {
		order = append(order, (first+i)%main)
	}
	for i := main; i < owners; i++ {
		order = append(order, i)
	}
	return order
}

// OwnerBudget returns how many connections a VM may hold that is at a rank among the homes, or -1 for a VM that is none; part is
// what a VM could hold if all VMs of the failure domain held the same.
func OwnerBudget(equalShare float64, localVMs, rank int) int {
	switch {
	case rank >= 0 && rank < mainOwners:
		owners := min(mainOwners, max(localVMs, 1))
		return max(minBudget, int(equalShare*float64(localVMs))/owners)
	case rank >= mainOwners:
		return backupBudget
	default:
		return minBudget
	}
}
