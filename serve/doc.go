// Package serve runs the sessions of callers. It chooses a database instance for each statement, runs the statement there and decides
// what the caller may be told about the outcome.
package serve
