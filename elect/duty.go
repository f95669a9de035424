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

// Claim is what a VM knows of the duty that it wants to take.
type Claim struct {
	// Released tells that the duty was given back or never held, and Own that this VM holds it.
	Released, Own bool
	// HolderEnded tells that the process which holds the duty is known to have ended.
	HolderEnded bool
	// UnchangedSince is since when the duty is seen as it is.
	UnchangedSince time.Time
}

// MayClaim tells whether the duty can be taken. One whose holder ended is free once an order that the holder sent cannot be on its
// way any more, and one whose holder is silent once its term is over too.
func MayClaim(now time.Time, c Claim) bool {
	patience := dutyPatience
	if c.HolderEnded {
		patience = orderTime
	}
	return c.Released || c.Own || now.Sub(c.UnchangedSince) >= patience
}

// MayOrder tells whether an order can still be sent under a duty that was claimed or renewed by a call sent at claimedAt.
func MayOrder(now, claimedAt time.Time) bool {
	return now.Add(orderTime).Before(claimedAt.Add(dutyTerm))
}

// MayUse tells whether the duty still holds.
func MayUse(now, claimedAt time.Time) bool {
	return now.Before(claimedAt.Add(dutyTerm))
}
