package state

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
)

const (
	// registrationGracePeriod is how long a registration must have been missing, while the store was readable, until the instance counts as
	// gone: one that expired while the store was unavailable is renewed within two seconds of the store's return.
	registrationGracePeriod = 2300 * time.Millisecond
	// maxUnreadTime is how long the registrations may go without a confirmation before the store may have been unavailable. It spans a long
	// poll of the store by a peer and the wait for the peer's answer.
	maxUnreadTime = 2000 * time.Millisecond
)

// recordInstancesRead records that the registrations were current at an instant; the caller holds the lock.
func (c *Cache) recordInstancesRead(at time.Time) {
	if at.Sub(c.instancesCurrentAt) > maxUnreadTime {
		c.instancesReadSince = at
	}
	if at.After(c.instancesCurrentAt) {
		c.instancesCurrentAt = at
	}
}

// AbsenceSettled reports whether an instance that is not in the snapshot is certainly gone. Otherwise its registration may have expired while
// the store was unavailable: since the store's return, or the start of this process, instances had too little time to register again.
func (c *Cache) AbsenceSettled(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.absenceWait(now, time.Time{}) <= 0
}

// StartsSettled reports whether the snapshot has the present start of every instance that answered at an instant and that has not started
// again since. Otherwise its registration may still be that of its former start.
func (c *Cache) StartsSettled(answeredAt time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := c.instancesReadSince
	if answeredAt.After(since) {
		since = answeredAt
	}
	return c.instancesCurrentAt.Sub(since) >= registrationGracePeriod
}

// RegisteredAgain reports whether the instances had the time to register again in the present era of the store, which may have forgotten registrations.
func (c *Cache) RegisteredAgain(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.eraSince) >= registrationGracePeriod && c.absenceWait(now, time.Time{}) <= 0
}

// AbsenceWait returns how much longer an instance whose registration is gone stays in use; it is 0 for any other instance.
func (c *Cache) AbsenceWait(now time.Time, name model.InstanceName) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	missingAt, expired := c.expired[name]
	if !expired {
		return 0
	}
	return max(0, c.absenceWait(now, missingAt))
}

// absenceWait returns how much longer a registration that was missing at an instant has to be waited for; the caller holds the lock.
func (c *Cache) absenceWait(now, missingAt time.Time) time.Duration {
	if now.Sub(c.instancesCurrentAt) > maxUnreadTime {
		return registrationGracePeriod
	}
	since := c.instancesReadSince
	if missingAt.After(since) {
		since = missingAt
	}
	return registrationGracePeriod - now.Sub(since)
}
