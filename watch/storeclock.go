package watch

import (
	"time"

	"github.com/crocusshore/crocusshore/clock"
)

// storeClockResolution is the resolution of the store's clock.
const storeClockResolution = 2 * time.Millisecond

// storeClock maps the monotonic clock of the store to instants of the local clock that have certainly passed.
type storeClock struct {
	localAt   time.Time
	storeTime time.Duration
	set       bool
}

// observe returns a local instant that is not after the moment at which the store answered a call sent at sentAt; store is the time of
// the store's clock in the answer.
//
// A long poll is answered long after it was sent. The store's clock shows how much time passed since an earlier answer. That
// answer was given after the earlier call had been sent.
func (c *storeClock) observe(sentAt time.Time, store time.Duration) time.Time {
	at := sentAt
	if c.set && store >= c.storeTime {
		passed := time.Duration(float64(store-c.storeTime)*(1-clock.MaxDrift)) - storeClockResolution
		if reached := c.localAt.Add(passed); reached.After(at) {
			at = reached
		}
	}
	*c = storeClock{localAt: at, storeTime: store, set: true}
	return at
}
