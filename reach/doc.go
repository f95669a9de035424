// Package reach decides whether a VM is isolated, that is cut off from the store and from most groups, so that callers should be sent to
// other VMs.
package reach
