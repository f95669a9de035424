package serve

import (
	"time"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/place"
	"github.com/crocusshore/crocusshore/wait"
)

const (
	// maxAnswerAge bounds the age of the answer to another statement because of which a replica is passed over. Statements that wait check the age every
	// leasePollInterval, so that a replica is asked every AttemptInterval.
	maxAnswerAge = place.AttemptInterval - leasePollInterval
	// answerAgeShare bounds that age as a share of the route's timeout, so that an operation with little time does not spend it waiting.
	answerAgeShare = 0.25
	// maxRefusalAge bounds the age of the answer to another statement because of which an operation is refused.
	maxRefusalAge = place.AttemptInterval / 2
)

// round is a series of attempts at the instances that may run a statement, each at most once, except those that lag.
type round struct {
	tried map[model.InstanceName]bool
	// lagging holds the instances that lacked the required log position, and those that were passed over because another statement found that they do.
	lagging map[model.InstanceName]bool
	// retryAfter is the time after which the first of them may take the statement; it is 0 if unknown.
	retryAfter time.Duration
	// failing is set while each of them fails.
	failing bool
	// endsAt is when all may be tried again; it is zero until all have been tried.
	endsAt time.Time
	// final is set once the operation has no time for another round. From then on a replica is passed over only if it was found to lag within
	// maxRefusalAge and since the operation began.
	final bool
	// underWay is set if a replica was passed over because another statement is finding out whether it lags.
	underWay bool
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

// passOver records that an instance was not tried because of what another statement found or is finding out.
func (r *round) passOver(instance model.InstanceName, question place.Question) {
	r.lagging[instance] = true
	r.failing = false
	r.underWay = r.underWay || question == place.QuestionUnderWay
}

// maxAge returns the maximum age of the answer to another statement because of which the operation passes over a replica.
func (r *round) maxAge(now time.Time, op operation) time.Duration {
	if r.final {
		return min(now.Sub(op.startedAt), maxRefusalAge)
	}
	return min(maxAnswerAge, time.Duration(answerAgeShare*float64(op.route.Timeout)))
}

// retryLagging allows another attempt at the instances that lagged, but not at the others.
func (r *round) retryLagging() {
	for instance := range r.lagging {
		delete(r.tried, instance)
	}
	clear(r.lagging)
	r.underWay = false
}

// retryPassedOver allows an attempt at the replicas that were passed over, and reports whether there are any.
func (r *round) retryPassedOver() bool {
	found := false
	for instance := range r.lagging {
		found = found || !r.tried[instance]
	}
	clear(r.lagging)
	r.underWay = false
	return found
}

// nextRound waits until instances of a round may be tried again, and reports whether the operation still has time then. Replicas that lagged are tried
// as soon as one of them may be asked or was found to have caught up, all others once the round ends. primary is set if only the primary is to be tried.
//
// Before an operation is refused, the replicas that were passed over are asked unless another statement did so within maxRefusalAge, so that the refusal is
// accurate.
func (c *callerSession) nextRound(op operation, r *round, primary bool) bool {
	now := clock.Now()
	if r.final {
		return c.awaitQuestion(now, op, r)
	}
	if r.endsAt.IsZero() {
		r.endsAt = now.Add(op.retryAfter(now, c.roundRetryAfter(op, r, primary)))
	}
	if !wait.Decide(now, wait.At(r.endsAt), c.left(op)).Wait {
		r.final = true
		return r.retryPassedOver()
	}
	for ; len(r.lagging) > 0 && now.Before(r.endsAt); now = clock.Now() {
		if c.canRetryLagging(now, op, r) {
			r.retryLagging()
			return true
		}
		c.server.sleep(min(leasePollInterval, r.endsAt.Sub(now)))
	}
	c.server.sleep(r.endsAt.Sub(now))
	*r = *newRound()
	return true
}

// awaitQuestion waits for the answer to another statement that is finding out whether a replica lags, in the final round of an operation.
func (c *callerSession) awaitQuestion(now time.Time, op operation, r *round) bool {
	if !r.underWay || !now.Before(c.left(op).LatestStart()) {
		return false
	}
	c.server.sleep(minSlotPause)
	return r.retryPassedOver()
}

// canRetryLagging reports whether there is an instance for a read that the round has not tried, or that lagged and may be asked again.
func (c *callerSession) canRetryLagging(now time.Time, op operation, r *round) bool {
	for _, to := range c.server.rankInstances(now, op, c.session.LastCommit(op.route.Group)) {
		name := to.instance.Name
		if r.tried[name] && !r.lagging[name] {
			continue
		}
		if c.server.config.Tracker.Question(now, name, to.since, r.maxAge(now, op)).MayAsk() {
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
