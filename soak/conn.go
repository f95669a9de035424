package soak

import (
	"maps"
	"strings"
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/platform"
)

// checkedConn is the instance's end of a connection; it checks the statements that arrive.
type checkedConn struct {
	model.InstanceConn
	history *history
	team    model.TeamName
	// values holds the session values that the connection is set to, and prepared the kind and the shape of each prepared statement. Both hold only
	// what the instance did not refuse.
	values, prepared map[string]string
	// ran holds the statements of callers that ran on the connection.
	ran map[model.RequestID]bool
	// operation is the operation of a caller whose transaction is open on the connection; it is empty outside a transaction.
	operation string
	// instance is the one at this end, and arrival the number of the last arrival of an operation; it is -1 once its answer is recorded.
	instance model.InstanceName
	arrival  int
}

// notRunFaults holds the faults that mean that a statement did not run.
var notRunFaults = map[model.Fault]bool{
	model.FaultBusy: true, model.FaultNoStatement: true, model.FaultLagging: true, model.FaultReadOnly: true,
	model.FaultBadMessage: true,
}

func newCheckedConn(conn model.InstanceConn, h *history, team model.TeamName, instance model.InstanceName) *checkedConn {
	return &checkedConn{
		InstanceConn: conn, history: h, team: team, values: map[string]string{}, prepared: map[string]string{}, ran: map[model.RequestID]bool{},
		instance: instance, arrival: -1,
	}
}

// Exchange checks the statements and runs them, one after another.
func (c *checkedConn) Exchange(deadline time.Time, queries ...model.Query) ([]model.Reply, error) {
	var replies []model.Reply
	for _, q := range queries {
		c.check(q)
		time.Sleep(c.history.workTime(q.ID))
		reply, err := c.InstanceConn.Exchange(deadline, q)
		c.history.recordPassage(q.ID, func(p *passage) {
			p.finishedAt = time.Now()
			p.connLost = p.connLost || err != nil
		})
		if err != nil {
			c.recordAnswered(model.Reply{}, err)
			c.checkRun(q, "")
			return replies, err
		}
		c.recordAnswered(reply[0], nil)
		c.settle(q, reply[0])
		replies = append(replies, reply...)
	}
	return replies, nil
}

// recordAnswered records what the instance made of the statement that began an operation, if the last one did.
func (c *checkedConn) recordAnswered(reply model.Reply, err error) {
	if c.arrival >= 0 {
		c.history.recordAnswered(c.team, c.arrival, reply, err)
	}
	c.arrival = -1
}

// PlanAnswer passes on how the instance sends the next answer.
func (c *checkedConn) PlanAnswer() model.AnswerPlan { return platform.PlanAnswer(c.InstanceConn) }

// settle takes over what a statement changed on the connection, and checks that it may have run.
func (c *checkedConn) settle(q model.Query, reply model.Reply) {
	c.checkRun(q, reply.Fault)
	if reply.State == model.TxNone {
		c.operation = ""
	}
	if reply.Fault != "" {
		return
	}
	verb, arguments, _ := strings.Cut(q.Text, " ")
	name, value, _ := strings.Cut(arguments, " ")
	switch verb {
	case "SET":
		c.values[name] = value
	case "PREPARE":
		c.prepared[name] = value
	case "DEALLOC":
		delete(c.prepared, name)
	case "RESET":
		clear(c.values)
		clear(c.prepared)
	}
}

// checkRun checks a statement of a caller that ran, unless the fault tells that it did not: it may do so once, and EXEC only under a name that
// the connection has.
func (c *checkedConn) checkRun(q model.Query, fault model.Fault) {
	if q.ID == "" || notRunFaults[fault] {
		return
	}
	if c.ran[q.ID] {
		c.history.addViolation("twice: %s %q ran twice on a connection", q.ID, q.Text)
	}
	c.ran[q.ID] = true
	if words := strings.SplitN(q.Text, " ", 3); words[0] == "EXEC" && c.prepared[words[1]] == "" {
		c.history.addViolation("pinned: %s %q ran, though the connection has no such statement", q.ID, q.Text)
	}
}

// check checks a statement that arrived against what its caller sent.
func (c *checkedConn) check(q model.Query) {
	words := strings.SplitN(q.Text, " ", 3)
	if q.ID == "" {
		if provenVerbs[words[0]] {
			c.history.addViolation("unasked: %q came as a statement of the proxy itself", q.Text)
		}
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
	c.history.recordUse(use{instance: c.instance, id: q.ID, vm: sent.vm, at: time.Now()})
	if c.operation == "" && words[0] != "ROLLBACK" {
		c.arrival = c.history.recordOperation(c.team, arrival{at: time.Now(), operation: sent.operation, vm: sent.vm, instance: c.instance, verb: words[0]})
	}
	if c.operation != "" && c.operation != sent.operation {
		c.history.addViolation("pinned: %s of %s ran inside the transaction of %s", q.ID, sent.operation, c.operation)
	}
	if words[0] == "EXEC" {
		c.checkPrepared(q, words[1], sent)
	}
	if words[0] == "BEGIN" {
		c.operation = sent.operation
	}
}

// checkPrepared checks that a prepared statement is the one that its caller prepared. An instance refuses a name that it does not know.
func (c *checkedConn) checkPrepared(q model.Query, name string, sent sentStatement) {
	if has, known := c.prepared[name]; known && has != sent.prepared {
		c.history.addViolation("pinned: %s %q ran %q, and its caller prepared %q", q.ID, q.Text, has, sent.prepared)
	}
}
