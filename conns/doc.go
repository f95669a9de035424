// Package conns pools the connections of a VM to the database instances. An instance takes only a few, so the package shares them among
// the teams and divides an instance's limit among the VMs.
package conns
