// Package probe decides whether an instance or VM is suspected by one VM, or taken for failed by a majority of the failure domains.
package probe
