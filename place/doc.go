// Package place decides on which instance of a group a statement runs, from the load, latency and failures of the instances.
package place
