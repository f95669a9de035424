package stand

import "github.com/crocusshore/crocusshore/model"

// Breaches returns the promises that were broken.
func (c *Cluster) Breaches() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := append([]string(nil), c.breaches...)
	for _, id := range c.lost {
		all = append(all, "the acknowledged commit of "+string(id)+" is not in the log of the promoted instance")
	}
	return all
}

// Instance returns an instance as it sees itself.
func (c *Cluster) Instance(name model.InstanceName) model.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.databases[name].instance
}

// Rename lets an instance come back with its log under another name.
func (c *Cluster) Rename(name, as model.InstanceName) model.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.databases[name]
	delete(c.databases, name)
	d.instance.Name, d.faults, d.held = as, DatabaseFaults{}, 0
	d.generation++
	c.databases[as] = d
	return d.instance
}

// OrderBreaches returns the orders for new primaries that came out of turn.
func (c *Cluster) OrderBreaches() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.breaches...)
}

// Lost returns the commits that an instance acknowledged and that a promotion cut off.
func (c *Cluster) Lost() []model.RequestID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]model.RequestID(nil), c.lost...)
}
