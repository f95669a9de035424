package retry

import "time"

// Backoff is an exponential delay with full jitter.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// Delay returns the delay before a retry, counted from 0; random lies in [0, 1).
func (b Backoff) Delay(retry int, random float64) time.Duration {
	const maxShift = 20
	ceiling := min(b.Base<<min(retry, maxShift), b.Max)
	return time.Duration(float64(ceiling)/2 + random*float64(ceiling)/2)
}
