// Package entry implements the daemon of an entry VM. It serves the HTTP APIs for callers and operators and the RPC
// interface for other entry VMs, and runs the background tasks that keep the view, the placements, the quota shards and
// the stewards up to date. The decisions are made by other packages, such as route, term, quota and view; package entry
// connects them to the network.
package entry
