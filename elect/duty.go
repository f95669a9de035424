package elect

import "time"

const (
	// leaseTTL is how long the duty may be used after the claim or renewal was sent.
	leaseTTL = 4500 * time.Millisecond
	// takeoverDelay is how long another VM leaves an unchanged duty alone; it is longer than the term and the longest order.
	takeoverDelay = 6 * time.Second
	// minOrderTime is how much of the term must be left before an order for a new primary is sent.
	minOrderTime = 1300 * time.Millisecond
)

// LeaseClaim is what a VM knows of the duty that it wants to take.
type LeaseClaim struct {
	// Released tells that the duty was given back or never held, and Own that this VM holds it.
	Released, HeldHere bool
	// HolderEnded tells that the process which holds the duty is known to have ended.
	HolderEnded bool
	// UnchangedSince is since when the duty is seen as it is.
	UnchangedSince time.Time
}

// MayClaim tells whether the duty can be taken. One whose holder ended is free once an order that the holder sent cannot be on its
// way any more, and one whose holder is silent once its term is over too.
func MayClaim(now time.Time, c LeaseClaim) bool {
	patience := takeoverDelay
	if c.HolderEnded {
		patience = minOrderTime
	}
	return c.Released || c.HeldHere || now.Sub(c.UnchangedSince) >= patience
}

// MayOrder tells whether an order can still be sent under a duty that was claimed or renewed by a call sent at claimedAt.
func MayOrder(now, claimedAt time.Time) bool {
	return now.Add(minOrderTime).Before(claimedAt.Add(leaseTTL))
}

// MayUse tells whether the duty still holds.
func MayUse(now, claimedAt time.Time) bool {
	return now.Before(claimedAt.Add(leaseTTL))
}
