package model

import "time"

// PooledConn is a connection of a team to an instance, owned by this VM or by another one; it is used by one goroutine at a time.
type PooledConn interface {
	// Setup brings the connection to the values of the session and, if p is set, prepares a statement. A connection of another VM leaves that to
	// its owner, and passes the values on with each statement. After an error the connection is broken, and the statement must not be sent on it.
	Setup(deadline time.Time, values map[string]string, p *Prepared) error
	// Run runs one query; Setup comes before it.
	//
	// ErrNotSent means that the instance received nothing. After ErrNoAnswer the query may or may not have run, and the connection is broken; with
	// ErrUnmatched, something came that may not be the answer.
	Run(deadline time.Time, q Query) (Reply, error)
	// Execute is Run for a prepared statement.
	Execute(deadline time.Time, p Prepared, q Query, arguments string) (Reply, error)
	// Status asks the instance for its state.
	Status(deadline time.Time) (InstanceState, error)
	// Owner names the VM that owns the connection; it is empty for this VM.
	Owner() string
	// Broken reports whether the connection must not be used again.
	Broken() bool
	// Break marks the connection as one that must not be used again.
	Break()
}
