package conns

import (
	"github.com/cespare/xxhash/v2"

	"github.com/crocusshore/crocusshore/model"
)

const (
	// homesOfInstance is how many VMs of a failure domain hold its connections to an instance, so that one may fail.
	homesOfInstance = 2
	// backupsOfInstance is how many VMs step in for homes that do not answer.
	backupsOfInstance = 2
	// backupBudget is how many connections such a VM may hold.
	backupBudget = 2
	// MostHomes is how many VMs of a failure domain hold connections to an instance for others, backups included.
	MostHomes = homesOfInstance + backupsOfInstance
)

// Duty names the duty to hold connections to an instance for a failure domain; the first MostHomes VMs in its ranking have it.
func Duty(instance model.InstanceName) string { return "home " + string(instance) }

// Prefer returns the ranks of homes in the order in which a team uses them: its usual home, whose connections already are that
// team's, then the others and then the backups.
func Prefer(homes int, team model.TeamName) []int {
	usual := min(homesOfInstance, homes)
	order := make([]int, 0, homes)
	first := 0
	if usual > 0 {
		first = int(xxhash.Sum64String(string(team)) % uint64(usual))
	}
	for i := range usual {
		order = append(order, (first+i)%usual)
	}
	for i := usual; i < homes; i++ {
		order = append(order, i)
	}
	return order
}

// HomeBudget returns how many connections a VM may hold that is at a rank among the homes, or -1 for a VM that is none; part is
// what a VM could hold if all VMs of the failure domain held the same.
func HomeBudget(part float64, near, rank int) int {
	switch {
	case rank >= 0 && rank < homesOfInstance:
		homes := min(homesOfInstance, max(near, 1))
		return max(leastBudget, int(part*float64(near))/homes)
	case rank >= homesOfInstance:
		return backupBudget
	default:
		return leastBudget
	}
}
