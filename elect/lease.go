package elect

import "time"

const (
	// coordinatorTTL bounds the use of the coordinator lease, counted from the sending of the claim or renewal.
	coordinatorTTL = 4500 * time.Millisecond
	// takeoverDelay is how long the lease must be unchanged before another VM claims it, if no order may be under way; it exceeds coordinatorTTL.
	takeoverDelay = 6 * time.Second
	// minOrderTime is the time that must be left of the lease when an order is sent, and how long the lease of a process that has ended is left alone.
	minOrderTime = 1300 * time.Millisecond
	// orderSendTime is how long after the call that records it an order may be sent. It spans the call and the last check of the replicas.
	orderSendTime = time.Second
	// OrderLifetime is how long after its sending an order that was not answered may still be carried out: it may lie in the queues of both
	// kernels and of the platform.
	OrderLifetime = 10 * time.Second
	// OlderSendDelay is how much later than orderSendTime a program that gave orders no names may send one.
	OlderSendDelay = coordinatorTTL - minOrderTime - orderSendTime
	// pendingOrderDelay is how long a lease with an order that may be under way must be unchanged before another VM claims it: the row changes with
	// each order, and the last one is sent within orderSendTime of that.
	pendingOrderDelay = orderSendTime + OrderLifetime
)

// LeaseClaim is the state of the coordinator lease as observed by a VM that wants to claim it.
type LeaseClaim struct {
	// Released reports that the lease was given up or never held, and HeldHere that this VM holds it, by this process or the one before it.
	Released, HeldHere bool
	// HolderEnded reports that the process which holds the lease is known to have ended.
	HolderEnded bool
	// OrderPending reports that the holder recorded an order that may be under way. Neither the end of its process nor that of its lease takes
	// back what has left the process.
	OrderPending bool
	// PendingAge is how long before the row's last change the last of these orders was recorded at least. It is negative for one that may be sent later
	// than orderSendTime after its record.
	PendingAge time.Duration
	// FirstInEra reports that the lease was not claimed yet in the present era of the store, which is known to have begun at EraSince. The store may have
	// forgotten orders of the era before.
	FirstInEra bool
	EraSince   time.Time
	// UnchangedSince is the instant since which the row of the lease has been observed unchanged.
	UnchangedSince time.Time
}

// MayClaim reports whether the coordinator lease may be claimed. It may if it was given up or this VM holds it. Otherwise, no order
// that its holder sent may still be under way. Unless the holder has ended, the lease must have expired too. Whoever holds it, no order of an earlier era of the
// store may be under way.
func MayClaim(now time.Time, c LeaseClaim) bool {
	if c.FirstInEra && !OrdersEnded(now, c.EraSince) {
		return false
	}
	if c.Released || c.HeldHere {
		return true
	}
	delay := takeoverDelay
	if c.HolderEnded {
		delay = minOrderTime
	}
	if c.OrderPending {
		delay = max(delay, pendingOrderDelay-c.PendingAge)
	}
	return now.Sub(c.UnchangedSince) >= delay
}

// SendBy returns the instant until which an order may be sent that was recorded by a call sent at recordedAt.
func SendBy(recordedAt time.Time) time.Time { return recordedAt.Add(orderSendTime) }

// SettledBy returns the instant from which an order can't be under way any more that was recorded at an instant.
func SettledBy(recordedAt time.Time) time.Time { return recordedAt.Add(pendingOrderDelay) }

// OrdersEnded reports whether no order can be under way that was recorded before an era of the store, which is known to have begun at an instant.
func OrdersEnded(now, eraSince time.Time) bool { return now.Sub(eraSince) >= pendingOrderDelay }

// MayOrder reports whether an order may still be recorded under a lease that was claimed or renewed by a call sent at claimedAt.
func MayOrder(now, claimedAt time.Time) bool {
	return now.Before(claimedAt.Add(coordinatorTTL - minOrderTime))
}

// MayUse reports whether a lease that was claimed or renewed by a call sent at claimedAt is still valid.
func MayUse(now, claimedAt time.Time) bool {
	return now.Before(claimedAt.Add(coordinatorTTL))
}
