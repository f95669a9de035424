// Package share divides the rate limit of a team among the VMs that admit its operations, by the demand at each of them, so that all VMs
// together stay within the limit.
package share
