// Package state holds a VM's cached copy of the cluster state: settings, database instances, primaries and other VMs. It also decides
// whether the VM holds a lease on the primary of a group, and until when.
package state
