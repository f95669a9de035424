// Package early receives the signals of the process from its initialization on. It depends on little, so that it is initialized before the
// packages that take long; a signal that comes earlier ends the process.
package early
