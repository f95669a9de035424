// Package reach decides whether a VM is isolated, that is cut off from the store and from most groups, so that callers should be sent to
// other VMs. It also decides, earlier and from probes, whether a failure domain is cut off from the store and from all other failure domains.
package reach
