//go:build review2

// Command standin2 runs the scripted cases of the second review. It starts the daemons of a small deployment as separate processes, stands in for
// the platform's store, the promotion service, the database instances and the clients, and checks one rule of the users' pages.
package main
