package stand

import (
	"net/netip"

	"github.com/crocusshore/crocusshore/model"
)

// Group stands in for a database group: instances that replicate from one another.
type Group struct {
	Name      model.GroupName
	Instances []*Instance

	network *Network
	servers []*Server
}

// NewGroup starts a group whose instances listen on consecutive ports, beginning with that of an address; port 0 selects free ports.
func NewGroup(name model.GroupName, network *Network, at netip.AddrPort, configs []InstanceConfig) (*Group, error) {
	group := &Group{Name: name, network: network}
	for _, config := range configs {
		if err := group.start(at, config); err != nil {
			group.Close()
			return nil, err
		}
		if at.Port() != 0 {
			at = netip.AddrPortFrom(at.Addr(), at.Port()+1)
		}
	}
	return group, nil
}

func (g *Group) start(at netip.AddrPort, config InstanceConfig) error {
	instance := newInstance(g, config)
	handler, err := instance.Handler()
	if err != nil {
		return err
	}
	server, err := Serve(at, handler)
	if err != nil {
		return err
	}
	instance.Address = server.Address
	g.network.SetDomain(server.Address.String(), config.Domain)
	g.Instances = append(g.Instances, instance)
	g.servers = append(g.servers, server)
	go instance.replicate()
	return nil
}

// Close stops the instances.
func (g *Group) Close() {
	for i, server := range g.servers {
		close(g.Instances[i].stop)
		_ = server.Close()
	}
}

// Instance returns an instance by its name, or nil.
func (g *Group) Instance(name model.InstanceName) *Instance {
	for _, instance := range g.Instances {
		if instance.config.Name == name {
			return instance
		}
	}
	return nil
}

func (g *Group) byAddress(address netip.AddrPort) *Instance {
	for _, instance := range g.Instances {
		if instance.Address == address {
			return instance
		}
	}
	return nil
}
