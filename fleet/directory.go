package fleet

import (
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/wire"
)

// unreachablePeriod is the time for which a VM that was marked as unreachable is left out of the live VMs.
const unreachablePeriod = time.Second

// DirectoryConfig configures a Directory.
type DirectoryConfig struct {
	// Self is the VM that this process runs on.
	Self model.VM
	// Transport is used to reach peers.
	Transport http.RoundTripper
	// Scheme is http or https.
	Scheme string
}

// Directory is the list of VMs in the local state of one VM, with a client for each.
type Directory struct {
	config DirectoryConfig
	client *http.Client

	mu sync.RWMutex
	// vms are all listed VMs, this VM first.
	vms []model.VM
	// live are the VMs in vms that are neither leaving nor marked as unreachable.
	live []model.VM
	// platformList is the list as the platform returned it, and platformDigest is its Digest.
	platformList   []model.VM
	platformDigest uint64
	// unreachableUntil holds the time until which a VM is marked as unreachable.
	unreachableUntil map[model.VMID]time.Time
	// rankings caches rankings of live.
	rankings map[rankKey][]model.VM
	peers    map[netip.AddrPort]wire.PeerClient
}

// rankKey identifies a ranking, which is cached until the live VMs change.
type rankKey struct {
	role        string
	domain      model.Domain
	domainFirst bool
}

// New returns a Directory that lists only this VM.
func New(config DirectoryConfig) *Directory {
	return &Directory{
		config:           config,
		client:           &http.Client{Transport: config.Transport},
		vms:              []model.VM{config.Self},
		live:             []model.VM{config.Self},
		unreachableUntil: map[model.VMID]time.Time{},
		rankings:         map[rankKey][]model.VM{},
		peers:            map[netip.AddrPort]wire.PeerClient{},
	}
}

// Update replaces the list by the list that the platform returned. This VM always stays in the list.
func (d *Directory) Update(now time.Time, vms []model.VM) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.platformList, d.platformDigest = vms, Digest(vms)
	updated := []model.VM{d.config.Self}
	for _, vm := range vms {
		if vm.ID == d.config.Self.ID {
			updated[0].Leaving = updated[0].Leaving || vm.Leaving
			continue
		}
		updated = append(updated, vm)
	}
	d.vms = updated
	d.expireUnreachable(now)
}

// ExpireUnreachable removes the marks of the VMs that were marked as unreachable more than unreachablePeriod ago.
func (d *Directory) ExpireUnreachable(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expireUnreachable(now)
}

// expireUnreachable is ExpireUnreachable for a caller that holds d.mu.
func (d *Directory) expireUnreachable(now time.Time) {
	for id, until := range d.unreachableUntil {
		if now.After(until) {
			delete(d.unreachableUntil, id)
		}
	}
	d.refresh()
}

// PlatformList returns the list as the platform returned it. It does not include what Update changes for this VM.
func (d *Directory) PlatformList() []model.VM {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.platformList
}

// PlatformDigest returns the Digest of the list that the platform returned.
func (d *Directory) PlatformDigest() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.platformDigest
}

// refresh recomputes the live VMs and clears the cached rankings if they have changed. The caller holds d.mu.
func (d *Directory) refresh() {
	live := filter(d.vms, func(vm model.VM) bool {
		_, unreachable := d.unreachableUntil[vm.ID]
		return !vm.Leaving && !unreachable
	})
	if slices.Equal(live, d.live) {
		return
	}
	d.live = live
	d.rankings = map[rankKey][]model.VM{}
}

// MarkLeaving marks this VM as leaving.
func (d *Directory) MarkLeaving() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.config.Self.Leaving = true
	d.vms[0].Leaving = true
	d.refresh()
}

// All returns every listed VM. The result must not be modified.
func (d *Directory) All() []model.VM {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.vms
}

// Live returns the VMs that may get new roles, which are neither leaving nor marked as unreachable. The result must not be modified.
func (d *Directory) Live() []model.VM {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.live
}

// Ranked ranks the live VMs for a role; see Rank.
func (d *Directory) Ranked(role string) []model.VM {
	return d.ranked(rankKey{role: role}, func() []model.VM { return Rank(role, d.live) })
}

// RankedInDomain ranks the live VMs of one failure domain for a role.
func (d *Directory) RankedInDomain(role string, domain model.Domain) []model.VM {
	return d.ranked(rankKey{role: role, domain: domain}, func() []model.VM { return Rank(role, InDomain(domain, d.live)) })
}

// RankedDomainFirst ranks the live VMs for a role, with the VMs of one failure domain first.
func (d *Directory) RankedDomainFirst(role string, domain model.Domain) []model.VM {
	return d.ranked(rankKey{role: role, domain: domain, domainFirst: true}, func() []model.VM { return RankDomainFirst(role, domain, d.live) })
}

// ranked returns a cached ranking, or computes it with rank while holding d.mu and caches it.
func (d *Directory) ranked(key rankKey, rank func() []model.VM) []model.VM {
	d.mu.RLock()
	ranked, cached := d.rankings[key]
	d.mu.RUnlock()
	if cached {
		return ranked
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	ranked = rank()
	d.rankings[key] = ranked
	return ranked
}

// MarkUnreachable marks a VM other than this one as unreachable for unreachablePeriod.
func (d *Directory) MarkUnreachable(now time.Time, id model.VMID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if id != d.config.Self.ID {
		d.unreachableUntil[id] = now.Add(unreachablePeriod)
		d.refresh()
	}
}

// MarkReachable removes the mark of a VM that answered.
func (d *Directory) MarkReachable(id model.VMID) {
	d.mu.RLock()
	_, unreachable := d.unreachableUntil[id]
	d.mu.RUnlock()
	if !unreachable {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.unreachableUntil, id)
	d.refresh()
}

// Find returns the listed VM with the given ID.
func (d *Directory) Find(id model.VMID) (model.VM, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, vm := range d.vms {
		if vm.ID == id {
			return vm, true
		}
	}
	return model.VM{}, false
}

// Self returns this VM.
func (d *Directory) Self() model.VM {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.config.Self
}

// Peer returns the client of the VM at an address.
func (d *Directory) Peer(address netip.AddrPort) wire.PeerClient {
	d.mu.RLock()
	peer := d.peers[address]
	d.mu.RUnlock()
	if peer != nil {
		return peer
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	peer = wire.NewPeerClient(d.client, d.config.Scheme+"://"+address.String())
	d.peers[address] = peer
	return peer
}
