// Package probe decides whether an instance or VM is suspected by one VM, or counts as failed because a majority of the failure domains does
// not reach it.
package probe
