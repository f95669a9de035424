package model

// StatementFormatter renders the statements that the proxy itself sends to an instance, and reads the row that one of them gives.
type StatementFormatter interface {
	// Begin opens a transaction.
	Begin(readOnly bool) string
	// Rollback rolls a transaction back.
	Rollback() string
	// Reset drops session values and prepared statements.
	Reset() string
	// Set sets a session value.
	Set(name, value string) string
	// Prepare prepares a shape under a name.
	Prepare(name string, p Prepared) string
	// Execute runs a prepared statement under the name that it has on the connection.
	Execute(name, arguments string) string
	// Status asks for the state of the instance, and ParseState reads the row of the answer.
	Status() string
	ParseState(row string) (InstanceState, error)
}
