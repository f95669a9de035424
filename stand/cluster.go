package stand

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/model"
)

type (
	// ClusterConfig describes a group of database instances with interactive connections.
	ClusterConfig struct {
		Group     model.GroupName
		Instances []model.Instance
		// Lag is how long a replica takes to receive a commit.
		Lag time.Duration
		// PromoteTime is how long a promotion takes, and OldTime how long the old primary goes on while it reaches the new one.
		PromoteTime time.Duration
		OldTime     time.Duration
		// ServiceTime is how long a statement of a caller occupies a slot; 0 leaves slots out.
		ServiceTime time.Duration
	}

	// Cluster stands in for the instances of a group and for the platform's orders of new primaries; it is safe for concurrent use.
	Cluster struct {
		config ClusterConfig

		mu        sync.Mutex
		databases map[model.InstanceName]*database
		fence     int64
		acked     map[model.RequestID]model.Mark
		breaches  []string
		// lost are commits that an instance acknowledged and that a promotion cut off.
		lost []model.RequestID
		// changed is called when an instance sees itself in another role.
		changed func(model.Instance)
	}

	// database is one instance of a cluster.
	database struct {
		instance   model.Instance
		term       model.Term
		held       model.Term
		log        []commit
		faults     DatabaseFaults
		generation int
		// running counts the statements that occupy slots.
		running int
		// open counts the connections, and mostOpen is how many there ever were at once.
		open, mostOpen int
	}

	// DatabaseFaults is how an instance misbehaves.
	DatabaseFaults struct {
		// Down refuses connections, Dark does not answer, and Deaf receives no commits.
		Down, Dark, Deaf bool
		// LoseAnswers runs statements and does not answer them.
		LoseAnswers bool
	}

	commit struct {
		mark   model.Mark
		writes []write
		at     time.Time
	}

	write struct {
		id   model.RequestID
		item string
		data string
	}
)

// NewCluster returns instances that run in term 1.
func NewCluster(config ClusterConfig) *Cluster {
	c := &Cluster{config: config, databases: map[model.InstanceName]*database{}, acked: map[model.RequestID]model.Mark{}}
	for _, instance := range config.Instances {
		c.databases[instance.Name] = &database{instance: instance, term: 1}
	}
	return c
}

// OnChange sets what is called when an instance sees itself in another role.
func (c *Cluster) OnChange(changed func(model.Instance)) { c.changed = changed }

// SetFaults changes how an instance misbehaves; an instance that goes down drops its connections.
func (c *Cluster) SetFaults(name model.InstanceName, faults DatabaseFaults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.databases[name]
	if faults.Down && !d.faults.Down {
		d.generation++
	}
	d.faults = faults
}

// MostConnections returns how many connections an instance ever had at once.
func (c *Cluster) MostConnections(name model.InstanceName) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.databases[name].mostOpen
}

// Primary returns the primary of the highest term; the name is empty while none leads.
func (c *Cluster) Primary() (model.InstanceName, model.Term) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.primary()
	if p == nil {
		return "", 0
	}
	return p.instance.Name, p.term
}

func (c *Cluster) primary() *database {
	var best *database
	for _, d := range c.databases {
		if d.instance.Role == model.RolePrimary && (best == nil || d.term > best.term) {
			best = d
		}
	}
	return best
}

// Count returns how often a write is in the log of the primary.
func (c *Cluster) Count(id model.RequestID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	primary := c.primary()
	if primary == nil {
		return 0
	}
	for _, entry := range primary.log {
		for _, w := range entry.writes {
			if w.id == id {
				count++
			}
		}
	}
	return count
}

func (d *database) end() model.Mark {
	if len(d.log) == 0 {
		return model.Mark{Term: 1}
	}
	return d.log[len(d.log)-1].mark
}

// Pull copies to the replicas what they may receive by now; tests call it all the time.
func (c *Cluster) Pull(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.databases {
		c.pull(now, d)
	}
}

func (c *Cluster) pull(now time.Time, d *database) {
	if d.instance.Role == model.RolePrimary || d.faults.Down || d.faults.Dark || d.faults.Deaf {
		return
	}
	for _, p := range c.databases {
		// A paused replica receives only from a primary of the term that it is paused for.
		if p.instance.Role != model.RolePrimary || p.term < d.term || p.term < d.held || p.faults.Down || p.faults.Dark {
			continue
		}
		if p.term > d.term {
			d.log, d.term = d.log[:min(len(d.log), common(d.log, p.log))], p.term
		}
		for len(d.log) < len(p.log) && now.Sub(p.log[len(d.log)].at) >= c.config.Lag {
			d.log = append(d.log, p.log[len(d.log)])
		}
	}
}

// common returns how many commits two logs share.
func common(a, b []commit) int {
	n := 0
	for n < len(a) && n < len(b) && a[n].mark == b[n].mark {
		n++
	}
	return n
}

// Promote names the next primary and checks the order.
func (c *Cluster) Promote(_ context.Context, order model.PromoteOrder) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if order.Fence < c.fence {
		c.breaches = append(c.breaches, "an order came under an older fencing token")
	}
	c.fence = max(c.fence, order.Fence)
	target := c.databases[order.Target]
	if target == nil || target.faults.Down {
		return model.ErrConflict
	}
	if target.instance.Role == model.RolePrimary && target == c.primary() {
		return nil
	}
	time.AfterFunc(c.config.PromoteTime, func() { c.lead(target) })
	return nil
}

func (c *Cluster) lead(target *database) {
	c.mu.Lock()
	defer c.mu.Unlock()
	term := model.Term(0)
	for _, d := range c.databases {
		term = max(term, d.term)
	}
	old := c.primary()
	for id, mark := range c.acked {
		if target.end().Before(mark) {
			c.lost = append(c.lost, id)
		}
	}
	target.term, target.instance.Role, target.held = term+1, model.RolePrimary, 0
	for _, d := range c.databases {
		d.held = 0
	}
	c.tell(target)
	if old != nil && old != target {
		time.AfterFunc(c.config.OldTime, func() { c.step(old, target.term) })
	}
}

// step makes an old primary a replica once it reaches the new one.
func (c *Cluster) step(old *database, term model.Term) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old.term < term && !old.faults.Down && !old.faults.Dark {
		c.demote(old)
	}
}

func (c *Cluster) demote(d *database) {
	if d.instance.Role == model.RolePrimary {
		d.instance.Role = model.RoleReplica
		c.tell(d)
	}
}

func (c *Cluster) tell(d *database) {
	if c.changed != nil {
		go c.changed(d.instance)
	}
}

// Dial opens a connection to an instance.
func (c *Cluster) Dial(deadline time.Time, instance model.Instance, team model.TeamName) (model.InstanceConn, error) {
	c.mu.Lock()
	d := c.databases[instance.Name]
	if d == nil {
		c.mu.Unlock()
		return nil, &model.RefusedError{Fault: model.FaultMisdirected}
	}
	faults, generation := d.faults, d.generation
	c.mu.Unlock()
	if faults.Dark {
		time.Sleep(time.Until(deadline))
		return nil, context.DeadlineExceeded
	}
	if faults.Down {
		return nil, errors.New("connection refused")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	d.open++
	d.mostOpen = max(d.mostOpen, d.open)
	return &clusterLink{cluster: c, database: d, team: team, generation: generation}, nil
}
