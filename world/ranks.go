package world

import (
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/fleet"
	"github.com/crocusshore/crocusshore/model"
)

type (
	// Rankings remembers who comes first for a duty in each failure domain for as long as the VMs stay the same; it is safe for
	// concurrent use.
	Rankings struct {
		world *Cache

		mu       sync.Mutex
		state    *Snapshot
		byDomain map[model.Domain][]model.VM
		ranked   map[rankKey][]VM
		// changedAt is when the VMs last changed.
		changedAt time.Time
	}

	rankKey struct {
		domain model.Domain
		role   string
	}
)

// NewRankings returns rankings of the VMs that a world knows.
func NewRankings(w *Cache) *Rankings { return &Rankings{world: w} }

// Of returns the VMs of a failure domain in the order of their rank for a duty.
func (r *Rankings) Of(now time.Time, domain model.Domain, role string) []VM {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh(now)
	key := rankKey{domain: domain, role: role}
	if known, ok := r.ranked[key]; ok {
		return known
	}
	var ranked []VM
	for _, vm := range fleet.Rank(role, r.byDomain[domain]) {
		ranked = append(ranked, r.state.VMs[vm.ID])
	}
	r.ranked[key] = ranked
	return ranked
}

// Counts returns how many VMs a failure domain has, and how many failure domains there are.
func (r *Rankings) Counts(now time.Time, domain model.Domain) (vms, domains int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh(now)
	return len(r.byDomain[domain]), len(r.byDomain)
}

// Domains returns the failure domains that have VMs.
func (r *Rankings) Domains(now time.Time) []model.Domain {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh(now)
	domains := make([]model.Domain, 0, len(r.byDomain))
	for domain := range r.byDomain {
		domains = append(domains, domain)
	}
	return domains
}

// ChangedAt returns when the VMs last changed.
func (r *Rankings) ChangedAt(now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh(now)
	return r.changedAt
}

// refresh forgets the rankings once the VMs changed.
func (r *Rankings) refresh(now time.Time) {
	state := r.world.Snapshot()
	if r.state == state {
		return
	}
	same := r.state != nil && sameVMs(r.state.VMs, state.VMs)
	r.state = state
	if same {
		return
	}
	r.byDomain, r.ranked, r.changedAt = map[model.Domain][]model.VM{}, map[rankKey][]VM{}, now
	for name, vm := range state.VMs {
		r.byDomain[vm.Domain] = append(r.byDomain[vm.Domain], model.VM{ID: name})
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
