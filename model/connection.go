package model

import "time"

// PooledConn is a connection of a team to an instance, held by this VM or by another one; it is used by one goroutine at a time.
type PooledConn interface {
	// Run brings the connection to the values of the session and runs one query.
	//
	// ErrNotSent means that the instance got nothing; ErrNoAnswer leaves the query in doubt and breaks the connection.
	Run(deadline time.Time, values map[string]string, q Query) (Reply, error)
	// Execute is Run for a prepared statement.
	Execute(deadline time.Time, values map[string]string, p Prepared, q Query, arguments string) (Reply, error)
	// Status asks the instance for its state.
	Status(deadline time.Time) (InstanceState, error)
	// Owner names the VM that holds the connection; it is empty for this VM.
	Owner() string
	// Broken tells whether the connection must not be used again.
	Broken() bool
	// Break marks the connection as one that must not be used again.
	Break()
}
