// Package watch follows settings, instances and the table of the VMs at the platform's store, or through peers where the store is out of reach.
package watch
