// Package commands implements the command line, with one command per file. Some commands run a daemon, stand-ins, benches or a
// workload; the others call the operator interface of an entry.
package commands
