package remote

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/conns"
	"github.com/crocusshore/crocusshore/model"
)

// answerMargin is how long beyond the limit of a step its answer may take between the VMs.
const answerMargin = 20 * time.Millisecond

// ErrLease reports that the VM with the connection may not use the primary now; it comes marked as model.ErrNotSent.
var ErrLease = errors.New("the VM that holds the connection may not use the primary")

// Conn is a connection that another VM holds; it implements model.Connection.
type Conn struct {
	client  *Client
	home    netip.AddrPort
	stream  *stream
	request conns.Request
	broken  bool
}

// Run runs one query on the connection.
func (c *Conn) Run(deadline time.Time, values map[string]string, q model.Query) (model.Reply, error) {
	answer, err := c.step(deadline, Request{Values: values, Query: q})
	return answer.Reply, err
}

// Execute runs one prepared statement on the connection.
func (c *Conn) Execute(deadline time.Time, values map[string]string, p model.Prepared, q model.Query, arguments string) (model.Reply, error) {
	answer, err := c.step(deadline, Request{Values: values, Query: q, Prepared: &p, Arguments: arguments})
	return answer.Reply, err
}

// Status asks the instance for its state.
func (c *Conn) Status(deadline time.Time) (model.InstanceState, error) {
	answer, err := c.step(deadline, Request{Status: true})
	return answer.State, err
}

// Broken tells whether the connection must not be used again.
func (c *Conn) Broken() bool { return c.broken }

// Break marks the connection as one that must not be used again.
func (c *Conn) Break() { c.broken = true }

func (c *Conn) step(deadline time.Time, r Request) (Answer, error) {
	now := clock.Now()
	r.Instance, r.Team, r.Class, r.Term = c.request.Instance.Name, c.request.Team, c.request.Class, c.request.Term
	r.Limit = deadline.Sub(now)
	r.Wait = min(c.request.Deadline.Sub(now), r.Limit)
	if r.Limit <= 0 {
		return Answer{}, errors.Mark(errors.Wrap(conns.ErrBusy, "no time is left"), model.ErrNotSent)
	}
	answer, err := c.exchange(deadline, r)
	if err != nil {
		c.broken = true
		c.client.markDown(clock.Now(), c.home)
		return Answer{}, errors.Mark(errors.Mark(err, ErrHome), model.ErrNoAnswer)
	}
	return answer, c.failure(answer)
}

func (c *Conn) exchange(deadline time.Time, r Request) (Answer, error) {
	var answer Answer
	if err := c.stream.conn.SetDeadline(clock.Wall(deadline.Add(answerMargin))); err != nil {
		return answer, err
	}
	if err := c.stream.send(r); err != nil {
		return answer, err
	}
	return answer, c.stream.dec.Decode(&answer)
}

// failure returns the error that a failed step would have had on a connection of this VM.
func (c *Conn) failure(a Answer) error {
	switch a.Failure {
	case "":
		return nil
	case FailureBusy, FailureUnknown:
		return errors.Mark(errors.Wrap(conns.ErrBusy, a.Detail), model.ErrNotSent)
	case FailureLease:
		return errors.Mark(errors.Wrap(ErrLease, "asked of another VM"), model.ErrNotSent)
	case FailureRefused:
		return errors.Mark(&model.LinkError{Fault: a.Fault, Detail: a.Detail}, model.ErrNotSent)
	case FailureUnreachable:
		return errors.Mark(errors.New(a.Detail), model.ErrNotSent)
	default:
		c.broken = true
		return errors.Mark(errors.New(a.Detail), model.ErrNoAnswer)
	}
}
