package tree

import (
	"encoding/json"
	"net/netip"
	"sort"

	"github.com/crocusshore/crocusshore/jsonc"
	"github.com/crocusshore/crocusshore/model"
)

const (
	maxSlots       = 1e4
	maxConnections = 1e5
)

// Instance is one database instance of a group.
type Instance struct {
	Name    model.InstanceName
	Address netip.AddrPort
	Domain  model.Domain
	// Slots is the number of statements that the instance runs at a time, and Connections its connection limit.
	Slots       int
	Connections int
	// Leaving is set for an instance that is being removed; it gets no new work.
	Leaving bool
}

// Group is a database group: a primary and its replicas.
type Group struct {
	Name      model.GroupName
	Instances []Instance
	JSON      json.RawMessage
}

// Instance returns the instance with a name, and whether there is one.
func (g *Group) Instance(name model.InstanceName) (Instance, bool) {
	for _, instance := range g.Instances {
		if instance.Name == name {
			return instance, true
		}
	}
	return Instance{}, false
}

// Majority returns the smallest number of instances that is more than half of the group.
func (g *Group) Majority() int { return len(g.Instances)/2 + 1 }

func readGroup(name model.GroupName, object *jsonc.Object, value json.RawMessage) *Group {
	group := &Group{Name: name, JSON: value}
	instances := object.Object("Instances")
	if instances == nil || len(instances.Names()) == 0 {
		object.Report("the group has no Instances", `list them, such as "Instances": {"A": {"Address": "10.0.0.7:5400", "Domain": "East"}}`)
		object.ReportUnknown()
		return group
	}
	for _, instance := range instances.Names() {
		if o := instances.Object(instance); o != nil {
			group.Instances = append(group.Instances, readInstance(model.InstanceName(instance), o))
		}
	}
	sort.Slice(group.Instances, func(i, j int) bool { return group.Instances[i].Name < group.Instances[j].Name })
	object.ReportUnknown()
	return group
}

func readInstance(name model.InstanceName, object *jsonc.Object) Instance {
	instance := Instance{Name: name, Slots: 4, Connections: 50}
	if address := object.Require("Address", "give the IP number and port of the instance"); address != nil {
		instance.Address = address.AddrPort()
	}
	if domain := object.Require("Domain", "give the failure domain that the instance stands in"); domain != nil {
		instance.Domain = model.Domain(domain.Text())
	}
	if slots := object.Get("Slots"); slots != nil {
		instance.Slots = int(slots.Number(1, maxSlots))
	}
	if connections := object.Get("Connections"); connections != nil {
		instance.Connections = int(connections.Number(1, maxConnections))
	}
	if leaving := object.Get("Leaving"); leaving != nil {
		instance.Leaving = leaving.Bool()
	}
	object.ReportUnknown()
	return instance
}
