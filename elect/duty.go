package elect

import "time"

const (
	// dutyTerm is how long the duty may be used after the claim or renewal was sent.
	dutyTerm = 4500 * time.Millisecond
	// dutyPatience is how long another VM leaves an unchanged duty alone; it is longer than the term and the longest order.
	dutyPatience = 6 * time.Second
	// orderTime is how much of the term must be left before an order for a new primary is sent.
	orderTime = 1300 * time.Millisecond
)

// MayClaim tells whether the duty can be taken: it was given back, it is this VM's own, or it has not changed for long enough.
func MayClaim(now time.Time, released, own bool, unchangedSince time.Time) bool {
	return released || own || now.Sub(unchangedSince) >= dutyPatience
}

// MayOrder tells whether an order can still be sent under a duty that was claimed or renewed by a call sent at claimedAt.
func MayOrder(now, claimedAt time.Time) bool {
	return now.Add(orderTime).Before(claimedAt.Add(dutyTerm))
}

// MayUse tells whether the duty still holds.
func MayUse(now, claimedAt time.Time) bool {
	return now.Before(claimedAt.Add(dutyTerm))
}
