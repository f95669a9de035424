package watch

import "time"

const (
	// maxClockDrift is how much faster than ours the store's clock may run.
	maxClockDrift = 0.002
	// storeClockResolution is the resolution of the store's clock.
	storeClockResolution = 2 * time.Millisecond
)

// storeClock maps the steady clock of the store to instants that certainly passed on the clock of this VM.
type storeClock struct {
	at    time.Time
	store time.Duration
	set   bool
}

// observe returns an instant, not after the moment at which the store answered, for a call sent at sentAt.
//
// A long poll is answered long after it was sent. The store's clock tells how much time passed since an earlier answer, which
// was given after its own call was sent.
func (a *storeClock) observe(sentAt time.Time, store time.Duration) time.Time {
	at := sentAt
	if a.set && store >= a.store {
		passed := time.Duration(float64(store-a.store)*(1-maxClockDrift)) - storeClockResolution
		if reached := a.at.Add(passed); reached.After(at) {
			at = reached
		}
	}
	*a = storeClock{at: at, store: store, set: true}
	return at
}
