package elect

import "time"

const (
	// coordinatorTTL bounds the use of the coordinator lease, counted from the sending of the claim or renewal.
	coordinatorTTL = 4500 * time.Millisecond
	// takeoverDelay is how long the lease must be unchanged before another VM claims it; it exceeds coordinatorTTL and the longest order.
	takeoverDelay = 6 * time.Second
	// minOrderTime is the time that must be left of the lease when an order for a new primary is sent; it covers the longest order.
	minOrderTime = 1300 * time.Millisecond
)

// LeaseClaim is the state of the coordinator lease as observed by a VM that wants to claim it.
type LeaseClaim struct {
	// Released reports that the lease was given up or never held, and HeldHere that this VM holds it.
	Released, HeldHere bool
	// HolderEnded reports that the process which holds the lease is known to have ended.
	HolderEnded bool
	// UnchangedSince is the instant since which the row of the lease has been observed unchanged.
	UnchangedSince time.Time
}

// MayClaim reports whether the coordinator lease may be claimed. It may if it was given up or this VM holds it. Otherwise, no order
// that its holder sent may still be under way. Unless the holder has ended, the lease must have expired too.
func MayClaim(now time.Time, c LeaseClaim) bool {
	delay := takeoverDelay
	if c.HolderEnded {
		delay = minOrderTime
	}
	return c.Released || c.HeldHere || now.Sub(c.UnchangedSince) >= delay
}

// MayOrder reports whether an order may still be sent under a lease that was claimed or renewed by a call sent at claimedAt.
func MayOrder(now, claimedAt time.Time) bool {
	return now.Add(minOrderTime).Before(claimedAt.Add(coordinatorTTL))
}

// MayUse reports whether a lease that was claimed or renewed by a call sent at claimedAt is still valid.
func MayUse(now, claimedAt time.Time) bool {
	return now.Before(claimedAt.Add(coordinatorTTL))
}
