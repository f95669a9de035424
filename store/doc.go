// Package store is a client of the platform's published API: the transactional table, the object store and the list of VMs.
package store
