package conns

import (
	"maps"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/tree"
)

// maxPrepared bounds the prepared statements of a connection; once it is reached, the connection is reset before its next statement.
const maxPrepared = 200

// ErrValuesRefused reports that an instance refused a session value or a prepared statement, so that the session's statement was not sent.
var ErrValuesRefused = errors.New("the instance refused the values of the session")

// Conn is a connection of a team to an instance, with the session values and prepared statements that are set on it.
type Conn struct {
	Instance model.Instance
	Team     model.TeamName

	instanceConn      model.InstanceConn
	formatter         model.StatementFormatter
	values            map[string]string
	prepared          map[model.Prepared]string
	preparedNameCount int
	// takenAt is when a statement or transaction of a caller took the connection, and usedAt when it was last returned.
	takenAt, usedAt time.Time
	broken          bool
	// answers are those that the connection has had, and state is that of the transaction after the last one.
	answers *answers
	state   model.TxState
	// onUnmatched, if set, is called with each answer that is not taken for the one to a query.
	onUnmatched func(unmatched)
	// pool, if set, is told of each statement.
	pool *Pool
	// class is the class of the request that took the connection.
	class tree.Class
	// counted is set while the connection counts among those that run a statement.
	counted bool
}

// taken records that a request took the connection.
func (c *Conn) taken(now time.Time, request Request) {
	c.takenAt = time.Time{}
	c.class = request.Class
	if !request.AnyTeam {
		c.takenAt = now
	}
}

// Matches reports whether exactly these session values are set on the connection.
func (c *Conn) Matches(values map[string]string) bool { return maps.Equal(c.values, values) }

// Owner returns an empty name: this VM owns the connection.
func (c *Conn) Owner() string { return "" }

// Broken reports whether the connection must not be used again.
func (c *Conn) Broken() bool { return c.broken }

// Break marks the connection as one that must not be used again.
func (c *Conn) Break() { c.broken = true }

// reusable reports whether further statements may use the connection.
func (c *Conn) reusable() bool {
	return !c.broken && c.state == model.TxNone && !c.answers.uncertain && !c.answers.full()
}

// Status asks the instance for its state. After an error the connection is broken.
func (c *Conn) Status(deadline time.Time) (model.InstanceState, error) {
	if err := c.settle(deadline); err != nil {
		return model.InstanceState{}, err
	}
	replies, err := c.exchange(deadline, model.Query{Kind: model.CommandStatus, Text: c.formatter.Status()})
	if err != nil {
		return model.InstanceState{}, err
	}
	if reply := replies[0]; reply.Fault != "" {
		return model.InstanceState{}, &model.RefusedError{Fault: reply.Fault, Detail: reply.Detail}
	}
	state, err := c.formatter.ParseState(replies[0].Rows[0])
	if err != nil {
		c.broken = true
		return state, errors.Mark(err, model.ErrUnmatched)
	}
	return state, nil
}

// Setup drops repetitions of earlier answers that have arrived, sets the values of a session on the connection and, if p is set, prepares a statement,
// so that Run and Execute send nothing else. After an error the connection is broken, and nothing of the session's statement was sent; the error is
// ErrValuesRefused if the instance refuses a value or the statement.
func (c *Conn) Setup(deadline time.Time, values map[string]string, p *model.Prepared) error {
	if err := c.settle(deadline); err != nil {
		return err
	}
	queries := c.setup(values, p)
	if len(queries) == 0 {
		return nil
	}
	replies, err := c.exchange(deadline, queries...)
	if err != nil {
		return errors.Mark(err, model.ErrNotSent)
	}
	for _, reply := range replies {
		if reply.Fault != "" {
			return RefusedValues(reply.Fault, reply.Detail)
		}
	}
	c.values = maps.Clone(values)
	return nil
}

// Execute is Run for a prepared statement.
func (c *Conn) Execute(deadline time.Time, p model.Prepared, q model.Query, arguments string) (model.Reply, error) {
	name, prepared := c.prepared[p]
	if !prepared {
		return model.Reply{}, errors.Mark(errors.New("the statement is not prepared on the connection"), model.ErrNotSent)
	}
	q.Text = c.formatter.Execute(name, arguments)
	return c.Run(deadline, q)
}

// Run runs one query; Setup comes before it.
//
// After model.ErrNoAnswer the query may or may not have run, and the connection is broken.
func (c *Conn) Run(deadline time.Time, q model.Query) (model.Reply, error) {
	if err := c.start(deadline); err != nil {
		return model.Reply{}, err
	}
	defer c.finish()
	sentAt := clock.Now()
	replies, err := c.exchange(deadline, q)
	if err != nil {
		c.failed(err)
		return model.Reply{}, err
	}
	reply := replies[0]
	now := clock.Now()
	reply.Took = now.Sub(sentAt)
	if c.pool != nil {
		c.pool.recordAnswer(now, c, q, reply)
	}
	return reply, nil
}

// setup returns the queries that set the values on the connection and prepare the shape of p, unless it is prepared already. It records the
// shape as prepared.
func (c *Conn) setup(values map[string]string, p *model.Prepared) []model.Query {
	var queries []model.Query
	current := c.values
	if c.needsReset(values) {
		queries = append(queries, model.Query{Kind: model.CommandReset, Text: c.formatter.Reset()})
		current = nil
		c.prepared = map[model.Prepared]string{}
	}
	for name, value := range values {
		if old, has := current[name]; !has || old != value {
			queries = append(queries, model.Query{Kind: model.CommandSet, Text: c.formatter.Set(name, value)})
		}
	}
	if p == nil {
		return queries
	}
	if _, has := c.prepared[*p]; !has {
		c.preparedNameCount++
		c.prepared[*p] = "p" + strconv.Itoa(c.preparedNameCount)
		queries = append(queries, model.Query{Kind: model.CommandPrepare, Text: c.formatter.Prepare(c.prepared[*p], *p)})
	}
	return queries
}

// needsReset reports whether a value is set on the connection that the session never set, or too many statements are prepared on it.
func (c *Conn) needsReset(values map[string]string) bool {
	for name := range c.values {
		if _, has := values[name]; !has {
			return true
		}
	}
	return len(c.prepared) >= maxPrepared
}

// RefusedValues returns an ErrValuesRefused with the refusal of the instance as a *model.RefusedError.
func RefusedValues(fault model.Fault, detail string) error {
	refused := &model.RefusedError{Fault: fault, Detail: detail}
	return errors.Mark(errors.Mark(refused, ErrValuesRefused), model.ErrNotSent)
}
