package stand

import (
	"slices"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// ackedCommit is a commit whose acknowledgement waits for a replica; late is set if its instance had been replaced when it was made.
type ackedCommit struct {
	id   model.RequestID
	mark model.Mark
	at   time.Time
	late bool
}

// replaced reports whether a promotion has replaced the instance as the primary; the caller holds the lock.
func (c *Cluster) replaced(d *database) bool { return c.promoted != nil && d.term < c.promoted.term }

// recordAck records that an instance acknowledges a commit; the caller holds the lock.
func (c *Cluster) recordAck(d *database, entry ackedCommit) {
	c.acked[entry.id], c.ackedAt[entry.id] = entry.mark, time.Now()
	if entry.late {
		c.lateCommits = append(c.lateCommits, LateCommit{ID: entry.id, Instance: d.instance.Name, PromotedAt: c.promotedAt, CommittedAt: entry.at})
	}
	if c.replaced(d) && !c.promoted.log.holds(entry.mark) {
		c.recordCutOff(entry.id, entry.mark, c.promoted, c.promotedAt)
	}
}

// LateCommits returns the commits that an instance made after a promotion had replaced it, and acknowledged.
func (c *Cluster) LateCommits() []LateCommit {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]LateCommit(nil), c.lateCommits...)
}

// CutOffs returns the commits that an instance acknowledged, before or after a promotion that removed them, each once.
func (c *Cluster) CutOffs() []CutOff {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]CutOff(nil), c.cutOffs...)
}

// isCutOff reports whether the commit is recorded as removed already; the caller holds the lock.
func (c *Cluster) isCutOff(id model.RequestID) bool {
	return slices.ContainsFunc(c.cutOffs, func(cut CutOff) bool { return cut.ID == id })
}

func (c *Cluster) recordCutOff(id model.RequestID, mark model.Mark, promoted *database, promotedAt time.Time) {
	c.cutOffs = append(c.cutOffs, CutOff{ID: id, Mark: mark, AckedAt: c.ackedAt[id], PromotedAt: promotedAt, Promoted: promoted.instance.Name})
}

// Violations returns the violations so far: order violations and lost commits.
func (c *Cluster) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := append([]string(nil), c.orderViolations...)
	for _, id := range c.lostCommits {
		all = append(all, "the acknowledged commit of "+string(id)+" is not in the log of the promoted instance")
	}
	return all
}

// Instance returns an instance with the role that it has at present.
func (c *Cluster) Instance(name model.InstanceName) model.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.databases[name].instance
}

// Rename restarts an instance under another name; it keeps its log and its term, and loses its faults, its pause and its connections.
func (c *Cluster) Rename(name, as model.InstanceName) model.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.databases[name]
	delete(c.databases, name)
	d.instance.Name, d.faults, d.pausedTerm = as, DatabaseFaults{}, 0
	d.generation++
	c.databases[as] = d
	return d.instance
}

// Restart starts an instance anew with an empty log, as a replica; it loses its faults, its pause and its connections.
func (c *Cluster) Restart(name model.InstanceName, now time.Time) model.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.databases[name]
	d.log, d.faults, d.pausedTerm = commitLog{}, DatabaseFaults{}, 0
	d.instance.Role, d.instance.StartedAt = model.RoleReplica, now
	d.generation++
	return d.instance
}

// OrderViolations returns the violations by orders for new primaries, that is, by orders under an older fencing token.
func (c *Cluster) OrderViolations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.orderViolations...)
}

// LostCommits returns the commits that an instance acknowledged and that a promotion removed.
func (c *Cluster) LostCommits() []model.RequestID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]model.RequestID(nil), c.lostCommits...)
}

// recordLostCommits records each acknowledged commit that is not in the log of an instance, once. It looks for the commit's own position and
// term: after other promotions, a log that reaches further may hold other commits there.
func (c *Cluster) recordLostCommits(target *database) {
	for id, mark := range c.acked {
		if !target.log.holds(mark) {
			c.lostCommits = append(c.lostCommits, id)
			if !c.isCutOff(id) {
				c.recordCutOff(id, mark, target, time.Now())
			}
			delete(c.acked, id)
		}
	}
}
