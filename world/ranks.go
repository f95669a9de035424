package world

import (
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/fleet"
	"github.com/crocusshore/crocusshore/model"
)

type (
	// Ranks remembers who comes first for a duty in each failure domain for as long as the VMs stay the same; it is safe for
	// concurrent use.
	Ranks struct {
		world *World

		mu     sync.Mutex
		state  *State
		lists  map[model.Domain][]model.VM
		ranked map[rankKey][]VM
		// changedAt is when the VMs last changed.
		changedAt time.Time
	}

	rankKey struct {
		domain model.Domain
		duty   string
	}
)

// NewRanks returns rankings of the VMs that a world knows.
func NewRanks(w *World) *Ranks { return &Ranks{world: w} }

// Of returns the VMs of a failure domain in the order of their rank for a duty.
func (r *Ranks) Of(now time.Time, domain model.Domain, duty string) []VM {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.follow(now)
	key := rankKey{domain: domain, duty: duty}
	if known, ok := r.ranked[key]; ok {
		return known
	}
	var ranked []VM
	for _, vm := range fleet.Rank(duty, r.lists[domain]) {
		ranked = append(ranked, r.state.VMs[vm.ID])
	}
	r.ranked[key] = ranked
	return ranked
}

// Size returns how many VMs a failure domain has, and how many failure domains there are.
func (r *Ranks) Size(now time.Time, domain model.Domain) (vms, domains int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.follow(now)
	return len(r.lists[domain]), len(r.lists)
}

// Domains returns the failure domains that have VMs.
func (r *Ranks) Domains(now time.Time) []model.Domain {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.follow(now)
	domains := make([]model.Domain, 0, len(r.lists))
	for domain := range r.lists {
		domains = append(domains, domain)
	}
	return domains
}

// ChangedAt returns when the VMs last changed.
func (r *Ranks) ChangedAt(now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.follow(now)
	return r.changedAt
}

// follow forgets the rankings once the VMs changed.
func (r *Ranks) follow(now time.Time) {
	state := r.world.State()
	if r.state == state {
		return
	}
	same := r.state != nil && sameVMs(r.state.VMs, state.VMs)
	r.state = state
	if same {
		return
	}
	r.lists, r.ranked, r.changedAt = map[model.Domain][]model.VM{}, map[rankKey][]VM{}, now
	for name, vm := range state.VMs {
		r.lists[vm.Domain] = append(r.lists[vm.Domain], model.VM{ID: name})
	}
}

// sameVMs tells whether the VMs and where they are reached are the same; a restart changes neither.
func sameVMs(a, b map[model.VMID]VM) bool {
	if len(a) != len(b) {
		return false
	}
	for name, old := range a {
		vm, known := b[name]
		if !known || old.Domain != vm.Domain || old.Peers != vm.Peers || old.Gossip != vm.Gossip {
			return false
		}
	}
	return true
}
