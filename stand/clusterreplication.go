package stand

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// Replicate copies to the replicas the commits that are due by now. Nothing else replicates, so it has to be called at short intervals.
func (c *Cluster) Replicate(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.databases {
		c.replicateTo(now, d)
	}
}

func (c *Cluster) replicateTo(now time.Time, d *database) {
	if d.instance.Role == model.RolePrimary || d.faults.Down || d.faults.Unresponsive || d.faults.NoReplication {
		return
	}
	for _, p := range c.databases {
		if !c.receivesFrom(now, d, p) {
			continue
		}
		if p.term > d.term {
			d.log.truncate(d.log.commonPrefix(&p.log))
			d.term = p.term
			if d.pausedTerm <= p.term {
				d.pausedTerm = 0
			}
		}
		for next := len(d.log.entries); next < len(p.log.entries) && now.Sub(p.log.entries[next].at) >= c.config.ReplicationLag; next++ {
			d.log.add(p.log.entries[next])
		}
	}
}

// receivesFrom reports whether a replica receives commits from another instance: a primary of its own term, or of a later one that it has
// learned of. A paused replica receives only from a primary of the term that it is paused for, or of a later one.
func (c *Cluster) receivesFrom(now time.Time, d, p *database) bool {
	if p.instance.Role != model.RolePrimary || p.term < d.term || p.term < d.pausedTerm || p.faults.Down || p.faults.Unresponsive {
		return false
	}
	unknown := p.term > d.term && p == c.promoted && now.Sub(c.promotedAt) < c.config.FollowDelay
	return !unknown
}
