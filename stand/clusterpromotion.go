package stand

import (
	"context"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// Promote makes an instance the primary of a new term after PromoteTime. An order under an older fencing token is recorded as a violation
// and carried out nevertheless. Promote returns model.ErrConflict if the target is unknown or down.
func (c *Cluster) Promote(_ context.Context, order model.PromoteOrder) error {
	return c.promote(order, func(time.Time) {})
}

// promote is Promote; it calls carriedOut, in a goroutine of its own, once the promotion has taken effect.
func (c *Cluster) promote(order model.PromoteOrder, carriedOut func(time.Time)) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if order.Fence < c.fencingToken {
		c.orderViolations = append(c.orderViolations, "an order came under an older fencing token")
	}
	c.fencingToken = max(c.fencingToken, order.Fence)
	target := c.databases[order.Target]
	if target == nil || target.faults.Down {
		return model.ErrConflict
	}
	if target.instance.Role == model.RolePrimary && target == c.primary() {
		return nil
	}
	time.AfterFunc(c.config.PromoteTime, func() {
		c.becomePrimary(target)
		carriedOut(time.Now())
	})
	return nil
}

// becomePrimary makes an instance the primary of a new term and ends its pause, and those of the others unless they learn of the promotion later.
// It records as lost the acknowledged commits that are not in the instance's log.
func (c *Cluster) becomePrimary(target *database) {
	c.mu.Lock()
	defer c.mu.Unlock()
	term := model.Term(0)
	for _, d := range c.databases {
		term = max(term, d.term)
	}
	old := c.primary()
	c.recordLostCommits(target)
	term++
	target.term, target.instance.Role, target.pausedTerm = term, model.RolePrimary, 0
	if c.config.FollowDelay == 0 {
		for _, d := range c.databases {
			d.pausedTerm = 0
		}
	}
	c.promoted, c.promotedAt = target, time.Now()
	c.notifyChanged(target)
	if old != nil && old != target {
		time.AfterFunc(c.config.StepDownDelay, func() { c.stepDown(old, term) })
	}
}

// stepDown makes a primary of a term below the given one a replica. While it is down or unresponsive, it tries again after StepDownDelay.
func (c *Cluster) stepDown(old *database, term model.Term) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old.term >= term {
		return
	}
	if old.faults.Down || old.faults.Unresponsive {
		time.AfterFunc(c.config.StepDownDelay, func() { c.stepDown(old, term) })
		return
	}
	c.demote(old)
}

func (c *Cluster) demote(d *database) {
	if d.instance.Role == model.RolePrimary {
		d.instance.Role = model.RoleReplica
		c.notifyChanged(d)
	}
}

func (c *Cluster) notifyChanged(d *database) {
	if c.onChange != nil {
		go c.onChange(d.instance)
	}
}
