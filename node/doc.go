// Package node assembles the daemon of a VM from the other packages: it starts them, serves callers on the users' platform, answers
// other VMs and shuts down.
package node
