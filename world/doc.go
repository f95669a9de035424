// Package world holds what a VM believes about settings, instances, primaries and other VMs, and how long it may rely on it.
package world
