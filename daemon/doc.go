// Command daemon runs a node with nothing else linked in, which keeps its start and its memory small.
package main
