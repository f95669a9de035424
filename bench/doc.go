// Package bench runs entries, a stand-in platform and stand-in database groups in one process, over TCP on the loopback interface.
// Its benches measure them under load and faults, and return figures and the violations of invariants that were found. The demo
// command runs the same Fleet.
package bench
