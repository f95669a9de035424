// Package soak runs the daemon as separate processes against stand-ins of the platform and the databases, injects faults from outside
// the processes, and checks the promises from what callers and instances see.
package soak
