// Package clock reads the boot-time clock, which, unlike Go's monotonic clock, also counts the time for which a VM was suspended.
package clock
