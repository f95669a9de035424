// Package sess holds what a caller's session was promised, and what a caller is told of each outcome.
package sess
