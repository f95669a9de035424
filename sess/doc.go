// Package sess holds the state of a caller's session that does not depend on a connection, and decides what the caller may be told about
// the outcome of a statement.
package sess
