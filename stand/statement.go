package stand

import (
	"fmt"
	"strings"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

type (
	// statement is a text taken apart. Its last field extends to the end of the text and is kept byte for byte, so it may hold, begin and end
	// with blanks and any other bytes.
	statement struct {
		id   model.RequestID
		args string
	}

	// statementRunner runs a statement under the lock. It also returns the position that a replica has to receive before the answer is sent, if
	// any.
	statementRunner func(c *clusterConn, s statement) (model.Reply, model.Mark)
)

var (
	// statementRunners maps the first word of each statement to the function that runs it.
	statementRunners = map[string]statementRunner{
		"BEGIN":    withoutCommit((*clusterConn).begin),
		"ROLLBACK": withoutCommit((*clusterConn).rollback),
		"COMMIT":   (*clusterConn).commitStatement,
		"READ":     withoutCommit((*clusterConn).read),
		"WRITE":    (*clusterConn).write,
		"SET":      withoutCommit((*clusterConn).set),
		"PREPARE":  withoutCommit((*clusterConn).prepare),
		"EXEC":     (*clusterConn).executePrepared,
		"DEALLOC":  withoutCommit((*clusterConn).deallocate),
		"RESET":    withoutCommit((*clusterConn).reset),
		"STATUS":   withoutCommit((*clusterConn).status),
	}

	// provenStatements holds the first words of the statements whose success carries a proof.
	provenStatements = map[string]bool{"READ": true, "WRITE": true, "EXEC": true, "COMMIT": true}
)

// withoutCommit returns the runner of a statement that never adds to the log.
func withoutCommit(run func(c *clusterConn, args string) model.Reply) statementRunner {
	return func(c *clusterConn, s statement) (model.Reply, model.Mark) { return run(c, s.args), model.Mark{} }
}

// execute runs one query under the lock. It also returns the position that a replica has to receive before the answer is sent, if any.
func (c *clusterConn) execute(q model.Query) (model.Reply, model.Mark) {
	d := c.database
	verb, args, _ := strings.Cut(q.Text, " ")
	run, known := statementRunners[verb]
	if !known || (c.failed && verb != "ROLLBACK" && verb != "COMMIT") {
		return c.fault(model.FaultBadMessage), model.Mark{}
	}
	if q.Since != (model.Mark{}) && d.end().Before(q.Since) {
		return c.fault(model.FaultLagging), model.Mark{}
	}
	readWrite := c.inTransaction && !c.readOnly && !c.failed
	if readWrite && verb != "ROLLBACK" && (d.instance.Role != model.RolePrimary || d.term != c.txTerm) {
		return c.fault(model.FaultReadOnly), model.Mark{}
	}
	return run(c, statement{id: q.ID, args: args})
}

func (c *clusterConn) begin(args string) model.Reply {
	if args != "" && args != "READ" {
		return c.fault(model.FaultBadMessage)
	}
	readOnly := args == "READ"
	if !readOnly && c.database.instance.Role != model.RolePrimary {
		return c.fault(model.FaultReadOnly)
	}
	c.inTransaction, c.readOnly, c.txTerm = true, readOnly, c.database.term
	return c.success()
}

func (c *clusterConn) rollback(args string) model.Reply {
	if args != "" {
		return c.fault(model.FaultBadMessage)
	}
	c.endTransaction()
	return c.success()
}

func (c *clusterConn) commitStatement(s statement) (model.Reply, model.Mark) {
	if s.args != "" {
		return c.fault(model.FaultBadMessage), model.Mark{}
	}
	if c.failed {
		// The transaction is rolled back, so a success would be a promise that is not kept.
		c.endTransaction()
		return c.fault(model.FaultFailed), model.Mark{}
	}
	return c.commit()
}

func (c *clusterConn) read(item string) model.Reply {
	if item == "" {
		return c.fault(model.FaultBadMessage)
	}
	reply := c.success()
	reply.Rows = []string{c.database.log.value(item)}
	return reply
}

func (c *clusterConn) write(s statement) (model.Reply, model.Mark) {
	item, data, hasData := strings.Cut(s.args, " ")
	if item == "" || !hasData {
		return c.fault(model.FaultBadMessage), model.Mark{}
	}
	if c.database.instance.Role != model.RolePrimary {
		return c.fault(model.FaultReadOnly), model.Mark{}
	}
	c.writes = append(c.writes, write{id: s.id, item: item, data: data})
	if c.inTransaction {
		return c.success(), model.Mark{}
	}
	return c.commit()
}

// set checks a session value; no statement reads it.
func (c *clusterConn) set(args string) model.Reply {
	name, _, hasValue := strings.Cut(args, " ")
	if name == "" || !hasValue {
		return c.fault(model.FaultBadMessage)
	}
	if drawn(c.cluster.random, c.database.faults.Answers.RefusedSets) {
		return c.fault(model.FaultFailed)
	}
	return c.success()
}

func (c *clusterConn) prepare(args string) model.Reply {
	name, definition, _ := strings.Cut(args, " ")
	kind, shape, _ := strings.Cut(definition, " ")
	if name == "" || shape == "" || (kind != "READ" && kind != "WRITE") {
		return c.fault(model.FaultBadMessage)
	}
	if drawn(c.cluster.random, c.database.faults.Answers.RefusedSets) {
		return c.fault(model.FaultFailed)
	}
	if c.prepared == nil {
		c.prepared = map[string]string{}
	}
	c.prepared[name] = kind
	return c.success()
}

func (c *clusterConn) executePrepared(s statement) (model.Reply, model.Mark) {
	name, args, _ := strings.Cut(s.args, " ")
	if name == "" {
		return c.fault(model.FaultBadMessage), model.Mark{}
	}
	kind, known := c.prepared[name]
	if !known {
		return c.fault(model.FaultNoStatement), model.Mark{}
	}
	if kind == "WRITE" {
		return c.write(statement{id: s.id, args: args})
	}
	return c.read(args), model.Mark{}
}

func (c *clusterConn) deallocate(name string) model.Reply {
	if name == "" {
		return c.fault(model.FaultBadMessage)
	}
	if _, known := c.prepared[name]; !known {
		return c.fault(model.FaultNoStatement)
	}
	delete(c.prepared, name)
	return c.success()
}

func (c *clusterConn) reset(args string) model.Reply {
	if args != "" {
		return c.fault(model.FaultBadMessage)
	}
	clear(c.prepared)
	return c.success()
}

func (c *clusterConn) commit() (model.Reply, model.Mark) {
	writes := c.writes
	c.endTransaction()
	if len(writes) == 0 {
		return c.success(), model.Mark{}
	}
	d := c.database
	mark := model.Mark{Term: d.term, Position: d.end().Position + 1}
	d.log.add(commit{mark: mark, writes: writes, at: time.Now()})
	return c.success(), mark
}

// endTransaction ends a transaction and forgets its writes.
func (c *clusterConn) endTransaction() { c.inTransaction, c.failed, c.writes = false, false, nil }

// status answers with the row that describes the state of the instance.
func (c *clusterConn) status(args string) model.Reply {
	if args != "" {
		return c.fault(model.FaultBadMessage)
	}
	state, reply := c.instanceState(), c.success()
	reply.Rows = []string{fmt.Sprintf("%s %d %s %d 0 0 0", strings.ToLower(string(state.Role)), state.Term, state.Received, state.Held)}
	return reply
}
