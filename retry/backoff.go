package retry

import "time"

// Backoff is an exponential delay up to Max with equal jitter: half of the delay is fixed and half is random.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// Delay returns the delay before a retry, where the first retry is 0; random is in [0, 1).
func (b Backoff) Delay(retry int, random float64) time.Duration {
	const maxShift = 20
	ceiling := min(b.Base<<min(retry, maxShift), b.Max)
	return time.Duration(float64(ceiling)/2 + random*float64(ceiling)/2)
}
