package state

import (
	"maps"
	"net/netip"
	"slices"
	"sort"

	"github.com/crocusshore/crocusshore/evac"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
)

type (
	// VM is a VM as registered in the store.
	VM struct {
		Name   model.VMID
		Domain model.Domain
		// Peers is the address at which the VM serves requests of other VMs over HTTP.
		Peers netip.AddrPort
		// Gossip is the address at which the VM receives datagrams of other VMs. Over TCP, it receives statements there that other VMs run
		// on its connections.
		Gossip  netip.AddrPort
		Boot    model.BootID
		Version int64 `json:"-"`
	}

	// Snapshot is one version of the cached state; it does not change after it is published.
	Snapshot struct {
		Policy    *policy.Policy
		Instances map[model.InstanceName]model.Instance
		Primaries map[model.GroupName]PrimaryRecord
		// Unconfirmed holds the primary records of groups that were not written in the present era of the store, as the store has them. One that it does not
		// have has version 0. No primary is used because of them. Primaries has the records of such groups that were known in an earlier era.
		Unconfirmed map[model.GroupName]PrimaryRecord
		VMs         map[model.VMID]VM
		Coordinator CoordinatorLease
		// Evacuated holds the evacuated failure domains.
		Evacuated evac.Domains
	}
)

func newSnapshot() *Snapshot {
	return &Snapshot{
		Instances: map[model.InstanceName]model.Instance{},
		Primaries: map[model.GroupName]PrimaryRecord{},
		VMs:       map[model.VMID]VM{},
	}
}

func (s *Snapshot) clone() *Snapshot {
	c := *s
	c.Instances = maps.Clone(s.Instances)
	c.Primaries = maps.Clone(s.Primaries)
	c.Unconfirmed = maps.Clone(s.Unconfirmed)
	c.VMs = maps.Clone(s.VMs)
	return &c
}

// GroupInstances returns the instances of a group in the order of their names.
func (s *Snapshot) GroupInstances(group model.GroupName) []model.Instance {
	var members []model.Instance
	for _, i := range s.Instances {
		if i.Group == group {
			members = append(members, i)
		}
	}
	sort.Slice(members, func(a, b int) bool { return members[a].Name < members[b].Name })
	return members
}

// GroupReplicas returns the instances of a group other than its recorded primary, in the order of their names.
func (s *Snapshot) GroupReplicas(group model.GroupName) []model.Instance {
	primary := s.Primaries[group].Primary
	return slices.DeleteFunc(s.GroupInstances(group), func(i model.Instance) bool { return i.Name == primary })
}

// Groups returns the names of all groups that have an instance or a primary record, in order.
func (s *Snapshot) Groups() []model.GroupName {
	seen := map[model.GroupName]bool{}
	for _, i := range s.Instances {
		seen[i.Group] = true
	}
	for group := range s.Primaries {
		seen[group] = true
	}
	for group := range s.Unconfirmed {
		seen[group] = true
	}
	groups := make([]model.GroupName, 0, len(seen))
	for group := range seen {
		groups = append(groups, group)
	}
	sort.Slice(groups, func(a, b int) bool { return groups[a] < groups[b] })
	return groups
}

// Primary returns the primary of a group and its record; it returns false if there is no record or no such instance in the group.
func (s *Snapshot) Primary(group model.GroupName) (model.Instance, PrimaryRecord, bool) {
	record, known := s.Primaries[group]
	if !known {
		return model.Instance{}, PrimaryRecord{}, false
	}
	instance, registered := s.Instances[record.Primary]
	return instance, record, registered && instance.Group == group
}

// Others returns the VMs except one, in the order of their names.
func (s *Snapshot) Others(self model.VMID) []VM {
	others := make([]VM, 0, len(s.VMs))
	for name, vm := range s.VMs {
		if name != self {
			others = append(others, vm)
		}
	}
	sort.Slice(others, func(a, b int) bool { return others[a].Name < others[b].Name })
	return others
}
