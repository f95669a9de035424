package conns

import (
	"maps"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
)

// maxPrepared bounds the prepared statements of a connection; beyond it the connection is reset.
const maxPrepared = 200

// errSetup reports that the connection did not take the values of the session; the caller's statement is not answered for.
var errSetup = errors.New("the instance refused the values of the session")

// Conn is a connection of a team to an instance with the session values and prepared statements that it holds.
type Conn struct {
	Instance model.Instance
	Team     model.TeamName

	link          model.InstanceConn
	formatter     model.StatementFormatter
	values        map[string]string
	prepared      map[model.Prepared]string
	preparedNames int
	usedAt        time.Time
	broken        bool
}

// Matches tells whether the connection holds exactly these session values.
func (c *Conn) Matches(values map[string]string) bool { return maps.Equal(c.values, values) }

// Owner is empty, since this VM holds the connection.
func (c *Conn) Owner() string { return "" }

// Broken tells whether the connection must not be used again.
func (c *Conn) Broken() bool { return c.broken }

// Break marks the connection as one that must not be used again.
func (c *Conn) Break() { c.broken = true }

// Status asks the instance for its state; an error that is no refusal breaks the connection.
func (c *Conn) Status(deadline time.Time) (model.InstanceState, error) {
	state, err := c.link.Status(clock.Wall(deadline))
	if _, refused := model.Refused(err); err != nil && !refused {
		c.broken = true
	}
	return state, err
}

// Run brings the connection to the values of the session and runs one query; prepared is the shape that the query executes.
//
// ErrNoAnswer leaves the query in doubt and breaks the connection.
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
	replies, err := c.link.Exchange(clock.Wall(deadline), append(setup, q)...)
	if err != nil {
		c.broken = true
		return model.Reply{}, err
	}
	for _, reply := range replies[:len(setup)] {
		if reply.Fault != "" {
			c.broken = true
			return model.Reply{}, errors.Mark(errors.Wrapf(errSetup, "%s %s", reply.Fault, reply.Detail), model.ErrNoAnswer)
		}
	}
	c.values = maps.Clone(values)
	if replies[len(setup)].Fault == model.FaultNoStatement {
		// The instance dropped what the connection is believed to hold.
		c.broken = true
	}
	return replies[len(setup)], nil
}

// setup returns the queries that bring the connection to the values and the shape.
func (c *Conn) setup(values map[string]string, p *model.Prepared) []model.Query {
	var queries []model.Query
	held := c.values
	if c.needsReset(values) {
		queries = append(queries, model.Query{Text: c.formatter.Reset()})
		held = nil
		c.prepared = map[model.Prepared]string{}
	}
	for name, value := range values {
		if old, has := held[name]; !has || old != value {
			queries = append(queries, model.Query{Text: c.formatter.Set(name, value)})
		}
	}
	if p == nil {
		return queries
	}
	if _, has := c.prepared[*p]; !has {
		c.preparedNames++
		c.prepared[*p] = "p" + strconv.Itoa(c.preparedNames)
		queries = append(queries, model.Query{Text: c.formatter.Prepare(c.prepared[*p], *p)})
	}
	return queries
}

// needsReset tells whether the connection holds a value that the session never set, or too many prepared statements.
func (c *Conn) needsReset(values map[string]string) bool {
	for name := range c.values {
		if _, has := values[name]; !has {
			return true
		}
	}
	return len(c.prepared) >= maxPrepared
}
