package remote

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/conns"
	"github.com/crocusshore/crocusshore/evac"
	"github.com/crocusshore/crocusshore/memory"
	"github.com/crocusshore/crocusshore/model"
)

// answerMargin is added to the deadline of a step to allow for the transfer of its answer between the VMs.
const answerMargin = 20 * time.Millisecond

// ErrLease reports that the VM that owns the connection has no lease on the primary now; it is marked as model.ErrNotSent.
var ErrLease = errors.New("the VM that owns the connection may not use the primary")

// errLeaving reports that the VM that owns the connection is stopping.
var errLeaving = errors.New("the VM that owns the connection is stopping")

// Conn is a connection that another VM owns; it implements model.PooledConn.
type Conn struct {
	source  *Source
	owner   netip.AddrPort
	stream  *stream
	request conns.Request
	// values are those of the session, which the owner sets before each statement.
	values map[string]string
	// remaining are the owners to use next if this one takes no new work.
	remaining []Owner
	// local is set after a switch of owners to this VM: a connection of this VM's own pool, which all later statements use.
	local  *conns.Conn
	broken bool
	// ended is set if the owner has closed its connection to the instance; the stream to the owner may be used again.
	ended bool
}

// Setup sends nothing on a connection of another VM, which its owner sets up.
func (c *Conn) Setup(deadline time.Time, values map[string]string, p *model.Prepared) error {
	c.values = values
	if c.local == nil {
		return nil
	}
	return c.local.Setup(deadline, values, p)
}

// Run runs one query on the connection.
func (c *Conn) Run(deadline time.Time, q model.Query) (model.Reply, error) {
	return c.run(deadline, Request{Values: c.values, Query: q})
}

// Execute runs one prepared statement on the connection.
func (c *Conn) Execute(deadline time.Time, p model.Prepared, q model.Query, arguments string) (model.Reply, error) {
	return c.run(deadline, Request{Values: c.values, Query: q, Prepared: &p, Arguments: arguments})
}

// run runs a statement; if an owner takes no new work, it tries the next.
func (c *Conn) run(deadline time.Time, r Request) (model.Reply, error) {
	for c.local == nil {
		answer, err := c.step(deadline, r)
		if !errors.Is(err, errLeaving) {
			return answer.Reply, err
		}
		if err := c.switchOwner(deadline, err); err != nil {
			return model.Reply{}, err
		}
	}
	return c.runLocal(deadline, r)
}

// runLocal runs a statement on a connection of this VM, whose lease may have ended during a wait for the connection.
func (c *Conn) runLocal(deadline time.Time, r Request) (model.Reply, error) {
	if err := c.local.Setup(deadline, r.Values, r.Prepared); err != nil {
		return model.Reply{}, err
	}
	if mayRun := c.source.config.MayRun; mayRun != nil && !mayRun(clock.Now(), c.request.Instance, true) {
		return model.Reply{}, errors.Mark(errors.Wrap(conns.ErrBusy, evac.RefusalDetail), model.ErrNotSent)
	}
	if begin := c.source.config.BeginPrimaryUse; begin != nil && c.request.Term > 0 {
		done, ok := begin(clock.Now(), c.request.Instance, c.request.Term)
		if !ok {
			return model.Reply{}, errors.Mark(errors.Wrap(ErrLease, "after a switch of owners"), model.ErrNotSent)
		}
		defer done()
	}
	return execute(c.local, deadline, r)
}

// Status asks the instance for its state.
func (c *Conn) Status(deadline time.Time) (model.InstanceState, error) {
	if c.local != nil {
		return c.local.Status(deadline)
	}
	answer, err := c.step(deadline, Request{Status: true, StatusMaxAge: c.request.StatusMaxAge})
	return answer.State, err
}

// Owner returns the address of the VM that owns the connection; it is empty if that is this VM.
func (c *Conn) Owner() string {
	if c.local != nil {
		return c.local.Owner()
	}
	return c.owner.Addr().String()
}

// Broken reports whether the connection must not be used again.
func (c *Conn) Broken() bool { return c.broken || c.ended || (c.local != nil && c.local.Broken()) }

// Break marks the connection as one that must not be used again.
func (c *Conn) Break() {
	c.broken = true
	if c.local != nil {
		c.local.Break()
	}
}

// switchOwner switches to a connection of the next owner, after one that takes no new work.
func (c *Conn) switchOwner(deadline time.Time, leaving error) error {
	now := clock.Now()
	c.source.config.Client.markUnreachable(now, c.owner)
	_ = c.stream.conn.Close()
	request := c.request
	request.Deadline = clock.Earlier(deadline, request.Deadline)
	connection, err := c.source.firstReachable(now, c.remaining, request)
	if err != nil {
		c.broken = true
		return errors.Mark(errors.CombineErrors(err, leaving), model.ErrNotSent)
	}
	switch found := connection.(type) {
	case *conns.Conn:
		c.local = found
	case *Conn:
		c.owner, c.stream, c.remaining = found.owner, found.stream, found.remaining
	}
	return nil
}

// step sends a request to the owner and returns its answer.
func (c *Conn) step(deadline time.Time, r Request) (Answer, error) {
	now := clock.Now()
	r.Instance, r.Team, r.Class, r.Term, r.Route = c.request.Instance.Name, c.request.Team, c.request.Class, c.request.Term, c.request.Route
	r.New = c.request.New
	r.Limit = deadline.Sub(now)
	r.Wait = min(c.request.Deadline.Sub(now), r.Limit)
	if r.Limit <= 0 {
		return Answer{}, errors.Mark(errors.Wrap(conns.ErrBusy, "no time is left"), model.ErrNotSent)
	}
	answer, err := c.exchange(deadline, r)
	if err != nil {
		c.broken = true
		if !errors.Is(err, memory.ErrNoRoom) {
			c.source.config.Client.markUnreachable(clock.Now(), c.owner)
		}
		return Answer{}, errors.Mark(errors.Mark(err, ErrOwnerNoAnswer), model.ErrNoAnswer)
	}
	c.ended = answer.Ended
	return answer, c.failure(answer)
}

func (c *Conn) exchange(deadline time.Time, r Request) (Answer, error) {
	var answer Answer
	until := clock.Wall(deadline.Add(answerMargin))
	if err := c.stream.conn.SetDeadline(until); err != nil {
		return answer, err
	}
	c.stream.room, c.stream.until = r.Query.Room, until
	r.Query.Room = nil
	c.stream.sequence++
	r.Sequence = c.stream.sequence
	if err := c.stream.send(r); err != nil {
		return answer, err
	}
	if err := c.stream.receive(&answer, maxAnswerBytes); err != nil {
		return answer, err
	}
	return answer, c.stream.check(answer)
}

// failure returns the error that a failed step would have had on a connection of this VM. It breaks the connection if the statement may have
// run.
func (c *Conn) failure(a Answer) error {
	switch a.Failure {
	case "":
		return nil
	case FailureLeaving:
		return errors.Mark(errors.Mark(errors.Wrap(errLeaving, a.Detail), conns.ErrBusy), model.ErrNotSent)
	case FailureBusy, FailureUnknown:
		return errors.Mark(errors.Wrap(&conns.BusyError{RetryAfter: a.RetryAfter}, a.Detail), model.ErrNotSent)
	case FailureLease:
		return errors.Mark(errors.Wrap(ErrLease, "reported by the owner of the connection"), model.ErrNotSent)
	case FailureRefused:
		return errors.Mark(&model.RefusedError{Fault: a.Fault, Detail: a.Detail}, model.ErrNotSent)
	case FailureValues:
		return conns.RefusedValues(a.Fault, a.Detail)
	case FailureUnreachable:
		return errors.Mark(errors.New(a.Detail), model.ErrNotSent)
	case FailureUnasked:
		return errors.Mark(errors.Mark(errors.New(a.Detail), model.ErrUnmatched), model.ErrNotSent)
	case FailureNoRoom:
		c.broken = true
		return errors.Mark(errors.Mark(errors.New(a.Detail), memory.ErrNoRoom), model.ErrNoAnswer)
	case FailureUnmatched:
		return errors.Mark(errors.Mark(errors.New(a.Detail), model.ErrUnmatched), model.ErrNoAnswer)
	default:
		c.broken = true
		return errors.Mark(errors.New(a.Detail), model.ErrNoAnswer)
	}
}
