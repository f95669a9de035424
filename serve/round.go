package serve

import (
	"time"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
)

// round is a series of attempts at the instances that may run a statement, each at most once.
type round struct {
	tried map[model.InstanceName]bool
	// lagging holds those that lacked what the statement requires, or were passed over because they are known to.
	lagging map[model.InstanceName]bool
	// retryAfter is the time after which the first of them may take the statement; it is 0 if unknown.
	retryAfter time.Duration
	// failing is set while each of them fails.
	failing bool
}

func newRound() *round {
	return &round{tried: map[model.InstanceName]bool{}, lagging: map[model.InstanceName]bool{}, failing: true}
}

// add records an attempt.
func (r *round) add(instance model.InstanceName, a attempt) {
	r.tried[instance] = true
	r.failing = r.failing && isFailing(a.err)
	if a.reply.Fault == model.FaultLagging {
		r.lagging[instance] = true
	}
	if a.retryAfter > 0 && (r.retryAfter == 0 || a.retryAfter < r.retryAfter) {
		r.retryAfter = a.retryAfter
	}
}

// passOver records that an instance was not tried because it is known to lag.
func (r *round) passOver(instance model.InstanceName) {
	r.lagging[instance] = true
	r.failing = false
}

// goOn lets the round try those again that lagged, and not the others.
func (r *round) goOn() {
	for instance := range r.lagging {
		delete(r.tried, instance)
	}
	clear(r.lagging)
}

// pauseRound waits before the instances of a round are tried again, and begins the next round; it reports whether the operation still has time then.
// If some of them lagged, the round goes on as soon as one of these may be asked again or another instance may be used.
func (c *callerSession) pauseRound(op operation, r *round, primary bool) bool {
	now := clock.Now()
	after := op.retryAfter(now, c.roundRetryAfter(op, r, primary))
	if !c.mayPause(now, op, after) {
		return false
	}
	until := now.Add(after)
	for ; len(r.lagging) > 0 && now.Before(until); now = clock.Now() {
		time.Sleep(min(leasePollInterval, until.Sub(now)))
		if c.hasAnother(clock.Now(), op, r) {
			r.goOn()
			return true
		}
	}
	time.Sleep(until.Sub(now))
	*r = *newRound()
	return true
}

// hasAnother reports whether there is an instance for a read that the round has not tried, or that lagged and may be asked again.
func (c *callerSession) hasAnother(now time.Time, op operation, r *round) bool {
	for _, to := range c.server.rankInstances(now, op, c.session.LastCommit(op.route.Group)) {
		if name := to.instance.Name; !to.lagging && (!r.tried[name] || r.lagging[name]) {
			return true
		}
	}
	return false
}

// roundRetryAfter returns the time after which one of the instances of a round may take the operation's statement; it is 0 if unknown. If all of
// them fail, they are expected to answer as they did after earlier failures. primary is set if only the primary was to be tried.
func (c *callerSession) roundRetryAfter(op operation, r *round, primary bool) time.Duration {
	if !r.failing || len(r.tried) == 0 {
		return r.retryAfter
	}
	return c.failingRetryAfter(op, primary)
}
