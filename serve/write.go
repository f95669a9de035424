package serve

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/remote"
	"github.com/crocusshore/crocusshore/sess"
)

// leasePoll is how often a statement that waits for a primary looks again.
const leasePoll = 8 * time.Millisecond

// primary returns the primary of a group; while it is being replaced it waits for as long as the latency objective allows.
func (c *caller) primary(op operation) (choice, bool) {
	patience := op.startedAt.Add(op.patience())
	for {
		now := clock.Now()
		lease, ok := c.server.config.World.Lease(now, op.route.Group)
		if ok {
			return choice{instance: lease.Primary, primary: true, lease: lease}, true
		}
		if !now.Before(patience) {
			return choice{}, false
		}
		time.Sleep(leasePoll)
	}
}

// write runs a single write at most once.
func (c *caller) write(op operation, s statement) model.Reply {
	step := sess.Step{Kind: sess.StepWrite}
	deadline := op.startedAt.Add(op.route.Timeout)
	patience := op.startedAt.Add(op.patience())
	var reply model.Reply
	var to choice
	for attempts := 1; ; attempts++ {
		var known bool
		to, known = c.primary(op)
		if !known {
			reply = c.server.refuse(model.FaultBusy, "the group has no primary now", comeBack)
			c.report(op, s.command, "", reply, attempts)
			return reply
		}
		reply = c.tryWrite(op, s, to, step, deadline)
		if !reply.Fault.NotRun() || attempts >= maxAttempts || !clock.Now().Add(busyPause).Before(patience) {
			c.report(op, s.command, to.instance.Name, reply, attempts)
			return reply
		}
		time.Sleep(busyPause)
	}
}

func (c *caller) tryWrite(op operation, s statement, to choice, step sess.Step, deadline time.Time) model.Reply {
	conn, err := c.get(clock.Now(), op, to)
	if err != nil {
		c.server.failed(to.instance.Name, err)
		return c.server.refuse(model.FaultBusy, "the primary takes no connection", comeBack)
	}
	defer func() { c.server.config.Source.Put(clock.Now(), conn) }()
	reply, err := c.commitOn(conn, op, s, to, step, deadline)
	switch {
	case errors.IsAny(err, errLease, remote.ErrLease):
		return c.server.refuse(model.FaultBusy, "the primary is being replaced", comeBack)
	case err != nil:
		return c.server.refuse(model.FaultBusy, "the primary takes no connection", comeBack)
	}
	return reply
}

// commitOn sends a statement that may commit; an error means that nothing was sent.
func (c *caller) commitOn(conn model.Connection, op operation, s statement, to choice, step sess.Step, deadline time.Time) (model.Reply, error) {
	group := op.route.Group
	c.server.inflight.add(group, 1)
	defer c.server.inflight.add(group, -1)
	sentAt := clock.Now()
	if to.primary && !c.server.config.World.Holds(sentAt, to.lease) {
		return model.Reply{}, errLease
	}
	reply, err := c.send(conn, deadline, s, model.Mark{})
	now := clock.Now()
	if err != nil {
		c.server.failed(to.instance.Name, err)
		if errors.Is(err, model.ErrNotSent) {
			return model.Reply{}, err
		}
		if (step.Kind == sess.StepWrite || step.Wrote) && !errors.Is(err, remote.ErrHome) {
			c.server.acked.unanswered(now, sentAt, group)
		}
		return model.Reply{Fault: sess.Unanswered(step, !now.Before(deadline)), Detail: "the primary did not answer"}, nil
	}
	c.answered(sentAt, op, to, step.Kind == sess.StepWrite, reply)
	return c.conclude(now, to, step, reply), nil
}

// conclude decides what the caller is told of the answer to a statement that may have committed. It excludes confirmations that the
// primary is not used any more, which tell what was acknowledged until then.
func (c *caller) conclude(now time.Time, to choice, step sess.Step, reply model.Reply) model.Reply {
	c.server.confirming.RLock()
	defer c.server.confirming.RUnlock()
	group := to.instance.Group
	told := sess.Answered(step, reply, !to.primary || c.server.config.World.Acknowledges(now, to.lease))
	if told.Fault == "" && (step.Kind == sess.StepWrite || step.Wrote) {
		c.session.Committed(group, reply.Mark)
		c.server.acked.answered(now, group, reply.Mark)
	}
	return told
}
