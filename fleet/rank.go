package fleet

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/crocusshore/crocusshore/model"
)

// Rank orders VMs for a role by rendezvous hashing, so that every VM computes the same order and a change of the list moves few roles.
func Rank(role string, vms []model.VM) []model.VM {
	ranked := append([]model.VM(nil), vms...)
	scores := make(map[model.VMID]uint64, len(vms))
	for _, vm := range vms {
		scores[vm.ID] = xxhash.Sum64String(role + "\x00" + string(vm.ID))
	}
	sort.Slice(ranked, func(i, j int) bool {
		a, b := scores[ranked[i].ID], scores[ranked[j].ID]
		if a != b {
			return a > b
		}
		return ranked[i].ID < ranked[j].ID
	})
	return ranked
}

// RankDomainFirst orders the VMs of one failure domain first, then the others; each part is ordered by Rank.
func RankDomainFirst(role string, domain model.Domain, vms []model.VM) []model.VM {
	return append(Rank(role, InDomain(domain, vms)), Rank(role, notInDomain(domain, vms))...)
}

// InDomain returns the VMs of a failure domain.
func InDomain(domain model.Domain, vms []model.VM) []model.VM {
	return filter(vms, func(vm model.VM) bool { return vm.Domain == domain })
}

func notInDomain(domain model.Domain, vms []model.VM) []model.VM {
	return filter(vms, func(vm model.VM) bool { return vm.Domain != domain })
}

func filter(vms []model.VM, keep func(model.VM) bool) []model.VM {
	var kept []model.VM
	for _, vm := range vms {
		if keep(vm) {
			kept = append(kept, vm)
		}
	}
	return kept
}

// Index returns the index of a VM in a ranking, and whether the ranking contains it.
func Index(id model.VMID, ranked []model.VM) (int, bool) {
	for i, vm := range ranked {
		if vm.ID == id {
			return i, true
		}
	}
	return 0, false
}

// Domains returns the distinct failure domains of the VMs in ascending order.
func Domains(vms []model.VM) []model.Domain {
	seen := map[model.Domain]bool{}
	var domains []model.Domain
	for _, vm := range vms {
		if !seen[vm.Domain] {
			seen[vm.Domain] = true
			domains = append(domains, vm.Domain)
		}
	}
	sort.Slice(domains, func(i, j int) bool { return domains[i] < domains[j] })
	return domains
}
