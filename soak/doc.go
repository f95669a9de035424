// Package soak runs the daemon as separate processes against stand-ins of the platform and the databases. It injects faults from
// outside the processes: signals, network faults, and faults of the store and the instances. It checks the invariants only by what
// callers are answered and what arrives at the instances.
package soak
