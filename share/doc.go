// Package share divides the rate of a team among the VMs by what each of them is asked for, so that the whole fleet stays within it.
package share
