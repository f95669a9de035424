package soak

import (
	"maps"
	"strings"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// checkedConn is the instance's end of a connection; it checks the statements that arrive.
type checkedConn struct {
	model.InstanceConn
	history *history
	team    model.TeamName
	// values holds the session values that the connection is set to.
	values map[string]string
	// operation is the operation of a caller whose transaction is open on the connection; it is empty outside a transaction.
	operation string
}

// Exchange checks the statements and runs them.
func (c *checkedConn) Exchange(deadline time.Time, queries ...model.Query) ([]model.Reply, error) {
	for _, q := range queries {
		c.check(q)
	}
	c.work(queries)
	replies, err := c.InstanceConn.Exchange(deadline, queries...)
	for _, q := range queries {
		c.history.recordPassage(q.ID, func(p *passage) {
			p.finishedAt = time.Now()
			p.connLost = p.connLost || err != nil
		})
	}
	if err == nil && len(replies) > 0 && replies[len(replies)-1].State == model.TxNone {
		c.operation = ""
	}
	return replies, err
}

// work takes the time of statements that take long.
func (c *checkedConn) work(queries []model.Query) {
	for _, q := range queries {
		time.Sleep(c.history.workTime(q.ID))
	}
}

func (c *checkedConn) check(q model.Query) {
	words := strings.SplitN(q.Text, " ", 3)
	switch {
	case words[0] == "SET" && len(words) == 3:
		c.values[words[1]] = words[2]
		return
	case words[0] == "RESET":
		clear(c.values)
		return
	case q.ID == "":
		return
	}
	sent, known := c.history.checkArrival(c.team, q, maps.Clone(c.values))
	if !known {
		return
	}
	c.history.recordPassage(q.ID, func(p *passage) {
		if p.arrivedAt.IsZero() {
			p.arrivedAt = time.Now()
		}
	})
	if c.operation == "" && words[0] != "ROLLBACK" {
		c.history.recordOperation(c.team, sent)
	}
	if c.operation != "" && c.operation != sent.operation {
		c.history.addViolation("pinned: %s of %s ran inside the transaction of %s", q.ID, sent.operation, c.operation)
	}
	if words[0] == "BEGIN" {
		c.operation = sent.operation
	}
}
