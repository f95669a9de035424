// Package serve runs the sessions of callers. It chooses a database instance for each statement, runs the statement there and decides
// which outcome may be reported to the caller.
package serve
