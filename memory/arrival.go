package memory

import "time"

const (
	// firstPieceTime is the time that an incomplete message has in any case.
	firstPieceTime = 2 * time.Second
	// minBytesPerSecond is the minimum rate at which the rest of it must arrive. A client on a link of a hundredth of that of the slowest VM is faster.
	minBytesPerSecond = 64 << 10
	// maxRestarts bounds how often the time of a message starts again.
	maxRestarts = 3
)

// Arrival is the time that an incomplete message may take. The zero value is that of a message of which nothing has arrived.
type Arrival struct {
	since    time.Time
	bytes    int
	restarts int
}

// Add records that the message has some bytes so far and no end.
func (a *Arrival) Add(now time.Time, bytes int) {
	if a.since.IsZero() {
		a.since = now
	}
	a.bytes = bytes
}

// Begun reports whether something of the message has arrived.
func (a *Arrival) Begun() bool { return !a.since.IsZero() }

// Deadline returns until when the rest of the message must have arrived.
func (a *Arrival) Deadline() time.Time {
	return a.since.Add(firstPieceTime + time.Duration(float64(a.bytes)/minBytesPerSecond*float64(time.Second)))
}

// Restart begins the time anew and reports whether it did: a process that was stopped finds bytes that had arrived in time. It does so a few times
// for a message, since a slow sender may have sent something just now as well.
func (a *Arrival) Restart(now time.Time) bool {
	if a.restarts >= maxRestarts {
		return false
	}
	a.restarts++
	a.since = now
	return true
}
