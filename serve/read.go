package serve

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/conns"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/place"
	"github.com/crocusshore/crocusshore/remote"
	"github.com/crocusshore/crocusshore/sample"
	"github.com/crocusshore/crocusshore/sess"
)

const (
	// maxAttempts bounds how often a read is tried on different instances.
	maxAttempts = 6
	// attemptShare of the time that is left goes to one attempt of a read, so that another instance can answer in time.
	attemptShare = 0.45
	// busyPause is the pause before a round over instances that were all busy.
	busyPause = 15 * time.Millisecond
)

// attempt is one try of a statement on one instance.
type attempt struct {
	reply model.Reply
	// sent tells that the statement may have reached the instance.
	sent bool
	err  error
}

// read runs a single read, on another instance where one does not answer.
func (c *caller) read(op operation, s statement) model.Reply {
	deadline := op.startedAt.Add(op.route.Timeout)
	step := sess.Step{Kind: sess.StepRead}
	var last attempt
	var at model.InstanceName
	tried := map[model.InstanceName]bool{}
	attempts := 0
	for now := op.startedAt; attempts < maxAttempts && now.Before(deadline); now = clock.Now() {
		to, ok := c.untried(now, op, tried)
		if !ok {
			if now.Sub(op.startedAt) > op.patience() {
				break
			}
			time.Sleep(busyPause)
			clear(tried)
			continue
		}
		tried[to.instance.Name] = true
		attempts++
		at = to.instance.Name
		last = c.tryRead(now, deadline, op, s, to)
		if last.err == nil && (last.reply.Fault == "" || !last.reply.Fault.NotRun()) {
			reply := sess.Answered(step, last.reply, true)
			c.report(op, s.command, at, reply, attempts)
			return reply
		}
	}
	reply := c.unserved(step, last, deadline)
	c.report(op, s.command, at, reply, attempts)
	return reply
}

func (c *caller) untried(now time.Time, op operation, tried map[model.InstanceName]bool) (choice, bool) {
	for _, to := range c.server.choose(now, op, c.session.Seen(op.route.Group)) {
		if !tried[to.instance.Name] {
			return to, true
		}
	}
	return choice{}, false
}

// unserved tells the caller of a statement that no instance answered.
func (c *caller) unserved(step sess.Step, last attempt, deadline time.Time) model.Reply {
	if !last.sent {
		return c.server.refuse(model.FaultBusy, "no instance can take the statement", comeBack)
	}
	if last.err == nil {
		return sess.Answered(step, last.reply, true)
	}
	return model.Reply{Fault: sess.Unanswered(step, !clock.Now().Before(deadline)), Detail: "no instance answered"}
}

func (c *caller) tryRead(now, deadline time.Time, op operation, s statement, to choice) attempt {
	conn, err := c.get(now, op, to)
	if err != nil {
		c.server.failed(to.instance.Name, err)
		return attempt{err: err}
	}
	defer func() { c.server.config.Source.Put(clock.Now(), conn) }()
	sentAt := clock.Now()
	if to.primary && !c.server.config.World.Holds(sentAt, to.lease) {
		return attempt{err: errLease}
	}
	reply, err := c.send(conn, c.attemptDeadline(sentAt, deadline), s, to.since)
	if err != nil {
		c.server.failed(to.instance.Name, err)
		return attempt{err: err, sent: !errors.Is(err, model.ErrNotSent)}
	}
	c.answered(sentAt, op, to, true, reply)
	return attempt{reply: reply, sent: true}
}

func (c *caller) attemptDeadline(now, deadline time.Time) time.Time {
	return now.Add(time.Duration(attemptShare * float64(deadline.Sub(now))))
}

// errLease reports a primary that may have been replaced; nothing was sent.
var errLease = errors.New("the primary may have been replaced")

// work tells what the latency of a statement says.
type work struct {
	route model.RouteName
	// measured tells that it read or wrote, and direct that no other VM held the connection.
	measured, direct bool
}

// tracked records what the answer to a statement says of an instance.
func (s *Server) tracked(sentAt time.Time, instance model.InstanceName, w work, reply model.Reply) {
	now := clock.Now()
	if w.measured && reply.Fault == "" {
		s.config.Track.Answered(now, place.Latency{Route: w.route, Took: now.Sub(sentAt), Direct: w.direct}, instance)
	} else {
		s.config.Track.Alive(now, instance)
	}
}

// answered records an answer of an instance; that to a commit says nothing of its speed.
func (c *caller) answered(sentAt time.Time, op operation, to choice, measured bool, reply model.Reply) {
	s := c.server
	s.tracked(sentAt, to.instance.Name, work{route: op.route.Name, measured: measured, direct: c.last != nil && c.last.Holder() == ""}, reply)
	if to.primary {
		s.sampled(sentAt, op.route.Group, to.lease.Term, reply)
	}
}

// sampled keeps the position in the answer of the primary of a term to a statement sent at an instant.
func (s *Server) sampled(sentAt time.Time, group model.GroupName, term model.Term, reply model.Reply) {
	if reply.Mark.Term == term {
		s.config.Samples.Add(group, sample.Sample{At: sentAt, Mark: reply.Mark})
	}
}

// failed records an instance that could not be reached or did not answer; a full pool says nothing of the instance, nor does a VM
// that holds the connection and is silent.
func (s *Server) failed(instance model.InstanceName, err error) {
	if errors.IsAny(err, conns.ErrBusy, errFailing, errLease, remote.ErrLease, remote.ErrHome) {
		return
	}
	if refused, ok := model.Refused(err); ok && refused.Fault != model.FaultMisdirected {
		return
	}
	s.config.Track.Failed(clock.Now(), instance)
}
