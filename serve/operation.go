package serve

import (
	"fmt"
	"time"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
)

// operation is a single statement or a transaction, with the result of its admission check.
type operation struct {
	route policy.Route
	team  model.TeamName
	// homes are the home regions that apply to the operation.
	homes         policy.Homes
	startedAt     time.Time
	policyVersion int64
	// decidedBy is the VM that decided whether the operation is within the rate of its team.
	decidedBy model.VMID
	// refusal has a fault if the operation is rejected; endSession is set if the session ends with it.
	refusal    model.Reply
	endSession bool
}

// admitOperation checks key, route and rate; see operation.refusal for a rejected operation. An operation that no instance can take is
// rejected before it counts toward the rate of its team; primary is set if only the primary can take it.
func (c *callerSession) admitOperation(now time.Time, primary bool) operation {
	route, team, fault := c.admit()
	op := operation{route: route, team: team, startedAt: now, policyVersion: c.policyVersion()}
	if fault != "" {
		op.refusal = c.server.rejection(now, fault)
		op.endSession = fault != model.FaultBusy
		return op
	}
	if !c.server.drain.Load().mayRun(now) {
		op.refusal = c.server.refuse(model.FaultBusy, stoppingDetail, 0)
		return op
	}
	op.homes = c.server.config.Cache.Snapshot().Policy.HomesOf(route, team)
	c.server.readDemand.record(now, route)
	if refusal, found := c.awaitInstance(op, primary); !found {
		op.refusal = refusal
		return op
	}
	limits, known := c.server.config.Cache.Snapshot().Policy.Teams[team]
	if !known {
		return op
	}
	decision := c.server.config.Limiter.Admit(clock.Now(), limits)
	op.decidedBy = decision.By
	if !decision.Admitted {
		reason := fmt.Sprintf("over the rate of the team rate=%.1f part=%.1f demand=%.1f others=%.1f",
			limits.Rate, decision.Part, decision.Demand, decision.Fleet)
		op.refusal = c.server.refuse(model.FaultTooMany, reason, decision.RetryAfter)
	}
	return op
}

// advise adds a retry time to the refusal of an instance, which has none of its own: as long again as the operation has tried.
func (c *callerSession) advise(op operation, reply model.Reply) model.Reply {
	switch reply.Fault {
	case model.FaultBusy, model.FaultLagging, model.FaultReadOnly:
		if reply.RetryAfter == 0 {
			return c.server.refuse(reply.Fault, "refused by the instance "+reply.Detail, op.retryAfter(clock.Now(), 0))
		}
	}
	return reply
}
