// Package check records violations of invariants, which are faults of the program itself.
package check
