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

// unreachablePeriod is how long a VM that refused a connection is passed over.
const unreachablePeriod = time.Second

// DirectoryConfig describes the VM that keeps a directory.
type DirectoryConfig struct {
	Self      model.VM
	Transport http.RoundTripper
	// Scheme is http or https.
	Scheme string
}

// Directory is the list of VMs as one VM knows it, with a client for each.
type Directory struct {
	config DirectoryConfig
	client *http.Client

	mu               sync.RWMutex
	vms              []model.VM
	live             []model.VM
	platformList     []model.VM
	platformDigest   uint64
	unreachableUntil map[model.VMID]time.Time
	rankings         map[rankKey][]model.VM
	peers            map[netip.AddrPort]wire.PeerClient
}

// rankKey names a ranking that is kept until the live VMs change.
type rankKey struct {
	duty        string
	domain      model.Domain
	domainFirst bool
}

// New returns a directory that knows only its own VM.
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

// Update replaces the list by what the platform says; the own VM always stays in it.
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

// ExpireUnreachable lets VMs come back that were unreachable for long enough.
func (d *Directory) ExpireUnreachable(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expireUnreachable(now)
}

func (d *Directory) expireUnreachable(now time.Time) {
	for id, until := range d.unreachableUntil {
		if now.After(until) {
			delete(d.unreachableUntil, id)
		}
	}
	d.refresh()
}

// PlatformList returns the list as the platform gave it, without what this VM knows better.
func (d *Directory) PlatformList() []model.VM {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.platformList
}

// PlatformDigest identifies the list that the platform gave.
func (d *Directory) PlatformDigest() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.platformDigest
}

// refresh works out the live VMs anew; rankings are kept only while those stay the same.
func (d *Directory) refresh() {
	live := filter(d.vms, func(vm model.VM) bool {
		_, down := d.unreachableUntil[vm.ID]
		return !vm.Leaving && !down
	})
	if slices.Equal(live, d.live) {
		return
	}
	d.live = live
	d.rankings = map[rankKey][]model.VM{}
}

// MarkLeaving marks the own VM as leaving.
func (d *Directory) MarkLeaving() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.config.Self.Leaving = true
	d.vms[0].Leaving = true
	d.refresh()
}

// All returns every listed VM; the result must not be changed.
func (d *Directory) All() []model.VM {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.vms
}

// Live returns the VMs that may get new duties, neither leaving nor lately unreachable; the result must not be changed.
func (d *Directory) Live() []model.VM {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.live
}

// Ranked ranks the live VMs for a duty.
func (d *Directory) Ranked(duty string) []model.VM {
	return d.ranked(rankKey{duty: duty}, func() []model.VM { return Rank(duty, d.live) })
}

// RankedInDomain ranks the live VMs of one failure domain for a duty.
func (d *Directory) RankedInDomain(duty string, domain model.Domain) []model.VM {
	return d.ranked(rankKey{duty: duty, domain: domain}, func() []model.VM { return Rank(duty, InDomain(domain, d.live)) })
}

// RankedDomainFirst ranks the live VMs for a duty, those of one failure domain first.
func (d *Directory) RankedDomainFirst(duty string, domain model.Domain) []model.VM {
	return d.ranked(rankKey{duty: duty, domain: domain, domainFirst: true}, func() []model.VM { return RankDomainFirst(duty, domain, d.live) })
}

func (d *Directory) ranked(key rankKey, rank func() []model.VM) []model.VM {
	d.mu.RLock()
	ranked, kept := d.rankings[key]
	d.mu.RUnlock()
	if kept {
		return ranked
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	ranked = rank()
	d.rankings[key] = ranked
	return ranked
}

// MarkUnreachable marks a VM as unreachable for a while.
func (d *Directory) MarkUnreachable(now time.Time, id model.VMID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if id != d.config.Self.ID {
		d.unreachableUntil[id] = now.Add(unreachablePeriod)
		d.refresh()
	}
}

// MarkReachable clears the mark of a VM that answered.
func (d *Directory) MarkReachable(id model.VMID) {
	d.mu.RLock()
	_, down := d.unreachableUntil[id]
	d.mu.RUnlock()
	if !down {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.unreachableUntil, id)
	d.refresh()
}

// Find returns a VM by its name.
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

// Self returns the own VM.
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
