package state

import (
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/fleet"
	"github.com/crocusshore/crocusshore/model"
)

type (
	// Rankings caches the rankings of the VMs of each failure domain, one for each role, until the set of VMs changes. It is safe for
	// concurrent use.
	Rankings struct {
		cache *Cache

		mu       sync.Mutex
		snapshot *Snapshot
		byDomain map[model.Domain][]model.VM
		ranked   map[rankKey][]VM
		// changedAt is when the set of VMs last changed.
		changedAt time.Time
	}

	rankKey struct {
		domain model.Domain
		role   string
	}
)

// NewRankings returns rankings of the VMs in a cache.
func NewRankings(cache *Cache) *Rankings { return &Rankings{cache: cache} }

// Of returns the VMs of a failure domain in the order of their rank for a role; the caller must not change the slice.
func (r *Rankings) Of(now time.Time, domain model.Domain, role string) []VM {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh(now)
	key := rankKey{domain: domain, role: role}
	if cached, ok := r.ranked[key]; ok {
		return cached
	}
	var ranked []VM
	for _, vm := range fleet.Rank(role, r.byDomain[domain]) {
		ranked = append(ranked, r.snapshot.VMs[vm.ID])
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

// ChangedAt returns when the set of VMs last changed.
func (r *Rankings) ChangedAt(now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh(now)
	return r.changedAt
}

// refresh drops the rankings if the set of VMs changed. The caller holds the lock.
func (r *Rankings) refresh(now time.Time) {
	snapshot := r.cache.Snapshot()
	if r.snapshot == snapshot {
		return
	}
	same := r.snapshot != nil && sameVMs(r.snapshot.VMs, snapshot.VMs)
	r.snapshot = snapshot
	if same {
		return
	}
	r.byDomain, r.ranked, r.changedAt = map[model.Domain][]model.VM{}, map[rankKey][]VM{}, now
	for name, vm := range snapshot.VMs {
		r.byDomain[vm.Domain] = append(r.byDomain[vm.Domain], model.VM{ID: name})
	}
}

// sameVMs reports whether both maps hold the same VMs with the same failure domains and addresses; a restart changes none of these.
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
