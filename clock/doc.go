// Package clock reads the boot clock, on which a VM that was suspended sees the time that it missed.
package clock
