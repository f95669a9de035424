package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// MaxDrift bounds how much faster or slower than the local clock the clock of another VM or of the store may run, as a share of the elapsed time.
const MaxDrift = 0.002

// Now returns the time since the VM booted as a time.Time. It never goes back, and it counts suspended time.
//
// The result carries no monotonic reading, so differences between two results count suspended time too.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // The clock exists on every supported kernel.
	}
	return time.Unix(ts.Sec, ts.Nsec)
}

// Wall converts a result of Now to the clock of time.Now, which sockets and timers use for deadlines; it keeps a zero time.
func Wall(t time.Time) time.Time {
	if t.IsZero() {
		return t
	}
	return time.Now().Add(t.Sub(Now()))
}

// Earlier returns the earlier of two times.
func Earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Later returns the later of two times.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
