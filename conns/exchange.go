package conns

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
)

// arrivedTimeout bounds the read of an answer that had begun to arrive while none was due.
const arrivedTimeout = 50 * time.Millisecond

// errSettle reports that the time of a statement ended while answers arrived that nothing had asked for.
var errSettle = errors.Mark(errors.New("the instance answers without being asked"), model.ErrUnmatched)

// exchange runs queries and returns their answers. A fault ends the connection, as does an answer that is not certainly the one to its query,
// which gives an error.
func (c *Conn) exchange(deadline time.Time, queries ...model.Query) ([]model.Reply, error) {
	received, err := c.instanceConn.Exchange(clock.Wall(deadline), queries...)
	if err != nil {
		c.broken = true
		return nil, err
	}
	return c.match(deadline, queries, received)
}

// match returns the answers to queries of which as many answers were received. It reads a further one for each that is a repetition.
func (c *Conn) match(deadline time.Time, queries []model.Query, received []model.Reply) ([]model.Reply, error) {
	replies := make([]model.Reply, 0, len(queries))
	repeated := false
	for len(replies) < len(queries) {
		next, err := c.next(deadline, &received)
		if err != nil {
			c.broken = true
			return nil, unanswered(err, repeated)
		}
		q, reply := queries[len(replies)], c.answers.hash(next)
		switch v := c.answers.judge(q, c.state, reply); v {
		case verdictAccepted:
			replies = append(replies, c.accept(q, reply))
		case verdictRepeated:
			repeated = true
			c.report(q, next, v)
		default:
			c.broken = true
			c.report(q, next, v)
			return nil, errors.Mark(errors.Wrapf(model.ErrUnmatched, "%s", v), model.ErrNoAnswer)
		}
	}
	return replies, nil
}

// unanswered returns the error of a query without an answer. Once an answer was dropped as a repetition, it is no evidence against the instance: the
// answer may have been the one to the query after all.
func unanswered(err error, repeated bool) error {
	if repeated {
		return errors.Mark(err, model.ErrUnmatched)
	}
	return err
}

// next returns the next of the received answers, or reads one if there is none.
func (c *Conn) next(deadline time.Time, received *[]model.Reply) (model.Reply, error) {
	if len(*received) == 0 {
		return model.NextAnswer(func() (model.Reply, error) { return c.instanceConn.Receive(clock.Wall(deadline)) })
	}
	reply := (*received)[0]
	*received = (*received)[1:]
	return reply, nil
}

// accept records an accepted reply and returns it. After an uncertain acknowledgement a fault may be older than its query, and so may its log position.
func (c *Conn) accept(q model.Query, reply hashedReply) model.Reply {
	c.state = reply.State
	if reply.Fault == "" {
		c.answers.add(q, reply)
		return reply.Reply
	}
	c.broken = true
	if c.answers.uncertain {
		reply.Mark = model.Mark{}
	}
	return reply.Reply
}

// settle discards repetitions of earlier answers that arrived while none was due. Anything else that arrived breaks the connection.
func (c *Conn) settle(deadline time.Time) error {
	for !c.instanceConn.Idle() {
		now := clock.Now()
		reply, err := model.Reply{}, errSettle
		if now.Before(deadline) {
			reply, err = c.instanceConn.Receive(clock.Wall(clock.Earlier(deadline, now.Add(arrivedTimeout))))
		}
		switch {
		case errors.Is(err, model.ErrRepeatedGreeting):
		case err == nil && c.answers.hadWhole(c.answers.hash(reply)):
			c.report(model.Query{}, reply, verdictRepeated)
		default:
			c.broken = true
			return errors.Mark(c.unasked(reply, err), model.ErrNotSent)
		}
	}
	return nil
}

// unasked returns the error for what arrived while no answer was due. Half an answer is no evidence against the instance, unlike the end of the
// connection.
func (c *Conn) unasked(reply model.Reply, err error) error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errors.Mark(err, model.ErrUnmatched)
	case err != nil:
		return err
	default:
		c.report(model.Query{}, reply, verdictUnasked)
		return errors.Wrapf(model.ErrUnmatched, "%s", verdictUnasked)
	}
}
