package serve

import (
	"time"

	"github.com/crocusshore/crocusshore/memory"
	"github.com/crocusshore/crocusshore/model"
)

// statement is a read, write or commit to be sent to an instance.
type statement struct {
	command  model.Command
	write    bool
	prepared *model.Prepared
	// commits is set if the statement may have a lasting effect by itself.
	commits bool
}

// resolveStatement returns the statement of a command; for a prepared statement it looks the name up.
func (c *callerSession) resolveStatement(command model.Command) (statement, model.Fault) {
	s := statement{command: command, write: command.Kind == model.CommandWrite}
	if command.Kind != model.CommandExecute {
		return s, ""
	}
	prepared, known := c.session.Prepared[command.Name]
	if !known {
		return s, model.FaultNoStatement
	}
	s.prepared, s.write = &prepared, prepared.Write
	return s, ""
}

// setup sets the session's values on a connection to an instance and, if p is set, prepares a statement, so that nothing else is sent with the
// statement. It comes before the check of a lease.
func (c *callerSession) setup(conn model.PooledConn, deadline time.Time, instance model.InstanceName, p *model.Prepared) error {
	c.heavy = c.heavy || (p != nil && len(p.Shape) > memory.HeavyBytes)
	err := conn.Setup(deadline, c.session.Values, p)
	if err != nil {
		c.lastErr = err
		c.server.trackFailure(instance, err)
	}
	return err
}

// send runs the statement on a connection.
func (c *callerSession) send(conn model.PooledConn, deadline time.Time, s statement, since model.Mark) (model.Reply, error) {
	query := model.Query{
		ID: s.command.ID, Kind: s.command.Kind, Text: s.command.Text, Since: since, Commits: s.commits, Work: s.command.Kind != model.CommandCommit,
	}
	if !s.commits { // The outcome of a statement that may have a lasting effect is read in any case.
		query.Room = c.answerRoom
	}
	if s.prepared != nil {
		return conn.Execute(deadline, *s.prepared, query, s.command.Arguments)
	}
	return conn.Run(deadline, query)
}
