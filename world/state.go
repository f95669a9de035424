package world

import (
	"maps"
	"net/netip"
	"sort"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
)

type (
	// VM is a VM as it registered itself.
	VM struct {
		Name   model.VMID
		Domain model.Domain
		// Peers is where the VM answers other VMs.
		Peers netip.AddrPort
		// Gossip is where the VM takes datagrams of other VMs and, over TCP, statements for its connections.
		Gossip  netip.AddrPort
		Boot    model.BootID
		Version int64 `json:"-"`
	}

	// State is one version of the belief; it is not changed once it is published.
	State struct {
		Policy    *policy.Policy
		Instances map[model.InstanceName]model.Instance
		Leads     map[model.GroupName]Lead
		VMs       map[model.VMID]VM
		Duty      Duty
	}
)

func newState() *State {
	return &State{
		Instances: map[model.InstanceName]model.Instance{},
		Leads:     map[model.GroupName]Lead{},
		VMs:       map[model.VMID]VM{},
	}
}

func (s *State) clone() *State {
	c := *s
	c.Instances = maps.Clone(s.Instances)
	c.Leads = maps.Clone(s.Leads)
	c.VMs = maps.Clone(s.VMs)
	return &c
}

// Group returns the instances of a group in the order of their names.
func (s *State) Group(group model.GroupName) []model.Instance {
	var members []model.Instance
	for _, i := range s.Instances {
		if i.Group == group {
			members = append(members, i)
		}
	}
	sort.Slice(members, func(a, b int) bool { return members[a].Name < members[b].Name })
	return members
}

// Groups returns the names of all groups that the settings or the instances name, in order.
func (s *State) Groups() []model.GroupName {
	seen := map[model.GroupName]bool{}
	for _, i := range s.Instances {
		seen[i.Group] = true
	}
	for group := range s.Leads {
		seen[group] = true
	}
	groups := make([]model.GroupName, 0, len(seen))
	for group := range seen {
		groups = append(groups, group)
	}
	sort.Slice(groups, func(a, b int) bool { return groups[a] < groups[b] })
	return groups
}

// Primary returns the instance that leads a group, as far as it is registered.
func (s *State) Primary(group model.GroupName) (model.Instance, Lead, bool) {
	lead, known := s.Leads[group]
	if !known {
		return model.Instance{}, Lead{}, false
	}
	instance, registered := s.Instances[lead.Primary]
	return instance, lead, registered && instance.Group == group
}

// Others returns the VMs except one, in the order of their names.
func (s *State) Others(self model.VMID) []VM {
	others := make([]VM, 0, len(s.VMs))
	for name, vm := range s.VMs {
		if name != self {
			others = append(others, vm)
		}
	}
	sort.Slice(others, func(a, b int) bool { return others[a].Name < others[b].Name })
	return others
}
