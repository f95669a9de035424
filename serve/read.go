package serve

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/conns"
	"github.com/crocusshore/crocusshore/memory"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/place"
	"github.com/crocusshore/crocusshore/remote"
	"github.com/crocusshore/crocusshore/sample"
	"github.com/crocusshore/crocusshore/sess"
)

// attemptShare is the share of the remaining time that one attempt may take, so that another instance can answer in time.
const attemptShare = 0.45

// attempt is the result of one attempt to run a statement on one instance.
type attempt struct {
	reply model.Reply
	// sent is set if the statement may have reached the instance.
	sent bool
	err  error
	// retryAfter is the time after which the instance may take the statement, if it did not; it is 0 if unknown.
	retryAfter time.Duration
}

// read runs a single read, and runs it on another instance if one does not answer or cannot take it.
func (c *callerSession) read(op operation, s statement) model.Reply {
	step := sess.Step{Kind: sess.StepRead}
	var last attempt
	var lastInstance model.InstanceName
	round := newRound()
	attempts := 0
	for now := op.startedAt; now.Before(c.deadline(op)); now = clock.Now() {
		to, ok := c.nextUntried(now, op, round)
		if !ok {
			if !last.sent && c.server.excludesAll(op, false) {
				reply := c.refuseExcluded(now, op, false)
				c.report(op, s.command, lastInstance, reply, attempts)
				return reply
			}
			if !c.nextRound(op, round, false) {
				break
			}
			continue
		}
		attempts++
		lastInstance = to.instance.Name
		last = c.tryRead(now, op, s, to)
		c.server.endQuestion(to)
		round.add(to.instance.Name, last)
		if reply, final := finalRefusal(last.err); final {
			c.report(op, s.command, lastInstance, reply, attempts)
			return reply
		}
		if last.err == nil && (last.reply.Fault == "" || !last.reply.Fault.NotRun()) {
			reply := c.advise(op, sess.CallerReply(step, last.reply, true))
			c.report(op, s.command, lastInstance, reply, attempts)
			return reply
		}
	}
	reply := c.advise(op, c.unservedReply(op, step, last, c.roundRetryAfter(op, round, false)))
	c.report(op, s.command, lastInstance, reply, attempts)
	return reply
}

// nextUntried returns the best instance for a read that the round has not tried. It passes over replicas that another statement has just found to lack the
// required log position, or is asking. If it returns a replica that was found to lack it, other statements wait for this read until endQuestion.
func (c *callerSession) nextUntried(now time.Time, op operation, r *round) (target, bool) {
	for _, to := range c.server.rankInstances(now, op, c.session.LastCommit(op.route.Group)) {
		name := to.instance.Name
		if r.tried[name] {
			continue
		}
		question := c.server.config.Tracker.TakeQuestion(now, name, to.since, r.maxAge(now, op))
		if !question.MayAsk() {
			r.passOver(name, question)
			continue
		}
		if question == place.QuestionTaken {
			to.askedAt = now
		}
		return to, true
	}
	return target{}, false
}

// endQuestion ends the question that an attempt took, if any.
func (s *Server) endQuestion(to target) {
	if !to.askedAt.IsZero() {
		s.config.Tracker.EndQuestion(to.askedAt, to.instance.Name)
	}
}

// unservedReply returns the reply to a read that no instance served; one may after retryAfter, which is 0 if unknown.
func (c *callerSession) unservedReply(op operation, step sess.Step, last attempt, retryAfter time.Duration) model.Reply {
	if !last.sent {
		return c.server.refuse(model.FaultBusy, "no instance can take the statement", op.retryAfter(clock.Now(), retryAfter))
	}
	if last.err == nil {
		return sess.CallerReply(step, last.reply, true)
	}
	return model.Reply{Fault: sess.UnansweredFault(step, !clock.Now().Before(c.deadline(op))), Detail: "no instance answered"}
}

func (c *callerSession) tryRead(now time.Time, op operation, s statement, to target) attempt {
	conn, err := c.getConnection(now, op, to, connectionNeed{until: c.attemptDeadline(now, c.left(op).LatestStart())})
	if err != nil {
		c.server.trackFailure(to.instance.Name, err)
		return attempt{err: err, retryAfter: c.retryAfter(op, to, err)}
	}
	defer c.putBack(conn)
	deadline := c.attemptDeadline(clock.Now(), c.deadline(op))
	if err := c.setup(conn, deadline, to.instance.Name, s.prepared); err != nil {
		return attempt{err: err, retryAfter: c.retryAfter(op, to, err)}
	}
	sentAt := clock.Now()
	if err := c.server.mayStart(sentAt, op, to); err != nil {
		return attempt{err: err}
	}
	reply, err := c.send(conn, deadline, s, to.since)
	if err != nil {
		c.lastErr = err
		c.server.trackFailure(to.instance.Name, err)
		return attempt{err: err, sent: !errors.Is(err, model.ErrNotSent), retryAfter: c.retryAfter(op, to, err)}
	}
	c.recordAnswer(sentAt, op, to, true, reply)
	return attempt{reply: reply, sent: true, retryAfter: c.slotRetryAfter(op, to, reply.Fault)}
}

func (c *callerSession) attemptDeadline(now, deadline time.Time) time.Time {
	return now.Add(time.Duration(attemptShare * float64(deadline.Sub(now))))
}

// errLease reports a primary that may have been replaced; nothing was sent.
var errLease = errors.New("the primary may have been replaced")

// latencyInfo describes how the latency of a statement is recorded.
type latencyInfo struct {
	route model.RouteName
	// measured is set if the statement read or wrote, and direct if this VM owned the connection.
	measured, direct bool
}

// trackAnswer records that an instance answered, and the latency if the statement was measured and succeeded.
func (s *Server) trackAnswer(sentAt time.Time, instance model.InstanceName, info latencyInfo, reply model.Reply) {
	now := clock.Now()
	if info.measured && reply.Fault == "" {
		s.config.Tracker.RecordAnswer(now, place.Latency{Route: info.route, Took: now.Sub(sentAt), Work: reply.Took, Direct: info.direct}, instance)
	} else {
		s.config.Tracker.RecordAlive(now, instance)
	}
	if reply.Fault == model.FaultBusy {
		s.config.Tracker.RecordFull(now, info.route, instance)
	}
}

// recordAnswer records an answer of an instance; measured is false for a commit, whose latency is no measure of the instance's speed.
func (c *callerSession) recordAnswer(sentAt time.Time, op operation, to target, measured bool, reply model.Reply) {
	s := c.server
	s.trackAnswer(sentAt, to.instance.Name, latencyInfo{route: op.route.Name, measured: measured, direct: c.lastConn != nil && c.lastConn.Owner() == ""}, reply)
	if to.primary {
		s.addSample(sentAt, to.instance, to.lease.Term, reply)
		return
	}
	s.recordReplicaMark(sentAt, to, reply)
}

// recordReplicaMark records what the answer of a replica shows of its log. A replica that lacks a position tells the one that it has.
func (s *Server) recordReplicaMark(sentAt time.Time, to target, reply model.Reply) {
	if reply.Fault == model.FaultLagging {
		s.config.Tracker.RecordRefusal(sentAt, to.instance.Name, to.since, reply.Mark)
		return
	}
	s.config.Tracker.RecordMark(to.instance.Name, reply.Mark)
}

// addSample adds a sample: the log position in an answer of the primary of a term to a statement that was sent at sentAt. Status requests of other VMs
// share it. Until a new primary has a commit of its own, its log ends in an earlier term.
func (s *Server) addSample(sentAt time.Time, primary model.Instance, term model.Term, reply model.Reply) {
	if reply.Mark.Term <= term {
		s.config.Samples.Add(primary.Group, sample.Sample{At: sentAt, Mark: reply.Mark})
		s.config.Statuses.RecordStatement(clock.Now(), sentAt, primary, term, reply.Mark)
	}
}

// trackFailure records an instance that could not be reached or did not answer.
func (s *Server) trackFailure(instance model.InstanceName, err error) {
	if showsFailure(err) {
		s.config.Tracker.RecordFailure(clock.Now(), instance)
	}
}

// showsFailure reports whether an error shows that an instance could not be reached or did not answer. A full pool does not, nor does a VM that owns
// the connection and does not answer, nor an instance that answers twice, nor an answer for which this VM has no memory.
func showsFailure(err error) bool {
	if err == nil || errors.IsAny(err, conns.ErrBusy, errRecentlyFailed, errLease, errExcluded, remote.ErrLease, remote.ErrOwnerNoAnswer, model.ErrUnmatched, memory.ErrNoRoom) {
		return false
	}
	refused, ok := model.Refused(err)
	return !ok || refused.Fault == model.FaultMisdirected
}
