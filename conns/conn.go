package conns

import (
	"maps"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
)

// maxPrepared bounds the prepared statements of a connection; once it is reached, the connection is reset before its next statement.
const maxPrepared = 200

// errSetup reports that the instance refused a session value or a prepared statement; the outcome of the caller's statement is unknown.
var errSetup = errors.New("the instance refused the values of the session")

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
	// onUnmatched, if set, is called with each answer that cannot be told to be the one to its query.
	onUnmatched func(unmatched)
	// onAnswer, if set, is called with each answer of the instance; work is set for a statement that reads or writes.
	onAnswer func(now time.Time, instance model.InstanceName, work bool, reply model.Reply)
}

// taken records that a request took the connection.
func (c *Conn) taken(now time.Time, request Request) {
	c.takenAt = time.Time{}
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

// Status asks the instance for its state; an error other than a refusal breaks the connection.
func (c *Conn) Status(deadline time.Time) (model.InstanceState, error) {
	state, err := c.instanceConn.Status(clock.Wall(deadline))
	if _, refused := model.Refused(err); err != nil && !refused {
		c.broken = true
	}
	return state, err
}

// Run sets the values of the session on the connection and runs one query.
//
// After model.ErrNoAnswer the query may or may not have run, and the connection is broken.
func (c *Conn) Run(deadline time.Time, values map[string]string, q model.Query) (model.Reply, error) {
	return c.run(deadline, c.setup(values, nil), values, q)
}

// Execute is Run for a prepared statement.
func (c *Conn) Execute(deadline time.Time, values map[string]string, p model.Prepared, q model.Query, arguments string) (model.Reply, error) {
	setup := c.setup(values, &p)
	q.Text = c.formatter.Execute(c.prepared[p], arguments)
	return c.run(deadline, setup, values, q)
}

func (c *Conn) run(deadline time.Time, setup []model.Query, values map[string]string, q model.Query) (model.Reply, error) {
	sentAt := clock.Now()
	queries := append(setup, q)
	replies, err := c.instanceConn.Exchange(clock.Wall(deadline), queries...)
	if err != nil {
		c.broken = true
		return model.Reply{}, err
	}
	for n, reply := range replies {
		c.observe(queries[n], reply)
	}
	for _, reply := range replies[:len(setup)] {
		if reply.Fault != "" {
			c.broken = true
			return model.Reply{}, errors.Mark(errors.Wrapf(errSetup, "%s %s", reply.Fault, reply.Detail), model.ErrNoAnswer)
		}
	}
	c.values = maps.Clone(values)
	if replies[len(setup)].Fault == model.FaultNoStatement {
		// The instance has dropped a statement that is recorded as prepared on the connection.
		c.broken = true
	}
	reply := replies[len(setup)]
	now := clock.Now()
	reply.Took = now.Sub(sentAt)
	if c.onAnswer != nil {
		c.onAnswer(now, c.Instance.Name, q.Work, reply)
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
