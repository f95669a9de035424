package conns

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
)

// arrivedTimeout bounds the read of an answer that had begun to arrive while none was due.
const arrivedTimeout = 50 * time.Millisecond

// exchange runs queries and returns their answers. A fault ends the connection, as does an answer that cannot be told to be the one to its query,
// which gives an error.
func (c *Conn) exchange(deadline time.Time, queries ...model.Query) ([]model.Reply, error) {
	if err := c.settle(); err != nil {
		return nil, err
	}
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
	for len(replies) < len(queries) {
		reply, err := c.next(deadline, &received)
		if err != nil {
			c.broken = true
			return nil, err
		}
		q := queries[len(replies)]
		switch v := c.answers.judge(q, c.state, reply); v {
		case verdictAccepted:
			c.accept(reply)
			replies = append(replies, reply)
		case verdictRepeated:
			c.report(q, reply, v)
		default:
			c.broken = true
			c.report(q, reply, v)
			return nil, errors.Mark(errors.Wrapf(model.ErrUnmatched, "%s", v), model.ErrNoAnswer)
		}
	}
	return replies, nil
}

// next returns the next of the received answers, or reads one if there is none.
func (c *Conn) next(deadline time.Time, received *[]model.Reply) (model.Reply, error) {
	if len(*received) == 0 {
		return c.instanceConn.Receive(clock.Wall(deadline))
	}
	reply := (*received)[0]
	*received = (*received)[1:]
	return reply, nil
}

func (c *Conn) accept(reply model.Reply) {
	c.answers.add(reply)
	c.state = reply.State
	if reply.Fault != "" {
		c.broken = true
	}
}

// settle discards repetitions of earlier answers that arrived while none was due. Anything else that arrived breaks the connection.
func (c *Conn) settle() error {
	for !c.instanceConn.Idle() {
		reply, err := c.instanceConn.Receive(clock.Wall(clock.Now().Add(arrivedTimeout)))
		if err == nil && c.answers.had(reply) {
			c.report(model.Query{}, reply, verdictRepeated)
			continue
		}
		c.broken = true
		if err != nil {
			return errors.Mark(err, model.ErrNotSent)
		}
		c.report(model.Query{}, reply, verdictUnasked)
		return errors.Mark(errors.Wrapf(model.ErrUnmatched, "%s", verdictUnasked), model.ErrNotSent)
	}
	return nil
}
