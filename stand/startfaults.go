package stand

import "time"

// StartFaults describes an instance that is not warm yet after its start; the zero value is warm.
type StartFaults struct {
	// Work is by how much a statement of a caller takes longer; it occupies its slot meanwhile.
	Work time.Duration
	// FailsUntil is until when the instance ends the connection of each statement of a caller and does not run it.
	FailsUntil time.Time
}

// fails reports whether a statement of a caller fails.
func (f StartFaults) fails(now time.Time) bool { return now.Before(f.FailsUntil) }
