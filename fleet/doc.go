// Package fleet keeps the list of entry VMs, ranks them for each role by rendezvous hashing, and provides the clients to reach them
// as peers.
package fleet
