package state

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// Lease is the right to use the primary of a group in a term until an instant.
type Lease struct {
	Group   model.GroupName
	Term    model.Term
	Primary model.Instance
	Until   time.Time
	// Version is the version of the row that named the primary.
	Version int64
}

// Lease returns the lease on the primary of a group, and whether it is valid now.
//
// A promotion starts with an intent in the store and a pause of the replicas. It takes effect only after every VM has confirmed that
// it stopped using the old primary, or after all replicas have been paused for LeaseTTL. So for a VM that did not confirm,
// either of two observations shows that this period has not begun: a current table without an intent, or one replica that is not paused.
func (c *Cache) Lease(now time.Time, group model.GroupName) (Lease, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.snapshot.Load()
	primary, record, known := s.Primary(group)
	if !known || record.Next != nil || record.Version < c.revoked[group] || s.VMs[c.config.VM].Boot != c.config.Boot {
		return Lease{}, false
	}
	lease := Lease{
		Group: group, Term: record.Term, Primary: primary, Until: c.leaseEvidenceAt(group).Add(c.config.LeaseTTL), Version: record.Version,
	}
	return lease, now.Before(lease.Until)
}

// LeaseValid reports whether this VM has a valid lease on the primary and in the term of an earlier lease.
func (c *Cache) LeaseValid(now time.Time, lease Lease) bool {
	current, ok := c.Lease(now, lease.Group)
	return ok && current.Term == lease.Term && current.Primary.Name == lease.Primary.Name
}

// Revoke ends the leases of a group until the row of the group is newer than the version and contains no intent.
func (c *Cache) Revoke(group model.GroupName, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// The row with the intent itself does not allow the use of the primary again.
	c.revoked[group] = max(c.revoked[group], version+1)
}

// Confirm records that this VM is about to confirm that it stopped using the primary because of the intent in the row at a version.
func (c *Cache) Confirm(group model.GroupName, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmed[group] = max(c.confirmed[group], version)
}

// MayAcknowledge reports whether the answer to a statement that was sent under a lease may be forwarded as committed.
//
// A statement needs a valid lease when it is sent. Its answer may arrive after a replacement was announced: no replica is promoted
// before this VM has confirmed or the lease, as it was when the statement was sent, has expired.
func (c *Cache) MayAcknowledge(now time.Time, lease Lease) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.snapshot.Load()
	if s.Primaries[lease.Group].Term != lease.Term || s.VMs[c.config.VM].Boot != c.config.Boot {
		return false
	}
	return now.Before(lease.Until) && c.confirmed[lease.Group] <= lease.Version
}

// LeaseEvidenceAge returns the age of the newest evidence, of either kind, on which a lease on the primary of a group can rest.
func (c *Cache) LeaseEvidenceAge(now time.Time, group model.GroupName) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.leaseEvidenceAt(group))
}

// leaseEvidenceAt returns the instant of the newest evidence for a group: when the table was last current, or when a replica was last not
// paused for a later term. The caller holds the lock.
func (c *Cache) leaseEvidenceAt(group model.GroupName) time.Time {
	evidenceAt := c.recordCurrentAt(group)
	if at := c.termCheckedAt[group]; at.After(evidenceAt) {
		evidenceAt = at
	}
	return evidenceAt
}

// recordCurrentAt returns the newest instant at which the primary record of a group is known to have been current. The store may have forgotten what followed
// a record of an earlier era. The caller holds the lock.
func (c *Cache) recordCurrentAt(group model.GroupName) time.Time {
	if record := c.snapshot.Load().Primaries[group]; model.EraOf(record.Version) < model.EraOf(c.tableVersions[Table]) {
		return c.earlierEraAt
	}
	return c.tableCurrentAt
}
