package conns

import (
	"github.com/cespare/xxhash/v2"

	"github.com/crocusshore/crocusshore/model"
)

const (
	// mainOwners is the number of VMs of a failure domain that own its connections to an instance; there are two so that one may fail.
	mainOwners = 2
	// backupOwners is the number of VMs that replace owners that do not answer.
	backupOwners = 2
	// backupBudget bounds the connections of each backup owner to an instance.
	backupBudget = 2
	// MaxOwners is the number of VMs of a failure domain that may own connections to an instance for the others, backups included.
	MaxOwners = mainOwners + backupOwners
)

// OwnerRankKey returns the key under which the VMs of a failure domain are ranked as owners of the connections to an instance; the first
// MaxOwners of them own connections. The ranking depends on the text of the key, so all VMs have to use the same one.
func OwnerRankKey(instance model.InstanceName) string { return "home " + string(instance) }

// OwnerOrder returns the ranks of the owners in the order in which a team uses them: first the one chosen by the team's name, where idle
// connections of the team are likely, then the other main owners and then the backups.
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

// OwnerBudget returns how many connections to an instance a VM may hold. rank is its rank among the owners, or -1 if it is not an owner;
// equalShare is what it could hold if all localVMs of its failure domain held the same number.
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
