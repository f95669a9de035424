// Command daemon runs a node. Nothing else is linked in, which keeps its start time and its memory use small.
package main
