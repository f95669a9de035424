// Package sess holds the state of a caller's session that does not depend on a connection, and decides which outcome of a statement may be
// reported to the caller.
package sess
