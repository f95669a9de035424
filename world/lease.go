package world

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

// Lease returns the right to use the primary of a group, and whether there is one now.
//
// A promotion starts with an intent in the store and a pause of the replicas, and takes effect only after every VM confirmed
// that it stopped using the old primary, or once all replicas were paused for the lease bound. So both a current table without an
// intent and one replica that is not paused prove that the lease bound has not begun for a VM that did not confirm.
func (w *Cache) Lease(now time.Time, group model.GroupName) (Lease, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.state.Load()
	primary, lead, known := s.Primary(group)
	if !known || lead.Next != nil || lead.Version < w.revoked[group] || s.VMs[w.config.VM].Boot != w.config.Boot {
		return Lease{}, false
	}
	lease := Lease{Group: group, Term: lead.Term, Primary: primary, Until: w.leaseEvidenceAt(group).Add(w.config.LeaseTTL), Version: lead.Version}
	return lease, now.Before(lease.Until)
}

// LeaseValid tells whether a lease is still good.
func (w *Cache) LeaseValid(now time.Time, lease Lease) bool {
	current, ok := w.Lease(now, lease.Group)
	return ok && current.Term == lease.Term && current.Primary.Name == lease.Primary.Name
}

// Revoke ends the leases of a group until a row of the group at or above the version says that there is no intent.
func (w *Cache) Revoke(group model.GroupName, version int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	// The row of the intent itself is not enough to use the primary again.
	w.revoked[group] = max(w.revoked[group], version+1)
}

// Confirm records that this VM is about to confirm that it stopped using the primary because of the row of a version.
func (w *Cache) Confirm(group model.GroupName, version int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.confirmed[group] = max(w.confirmed[group], version)
}

// MayAcknowledge tells whether the answer to a statement that was sent under a lease may be passed on as committed.
//
// A statement needs a lease that holds when it is sent. Its answer may come when a replacement was announced meanwhile: nobody is
// promoted before this VM confirmed or the lease, as it was when the statement was sent, is over.
func (w *Cache) MayAcknowledge(now time.Time, lease Lease) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.state.Load()
	if s.Primaries[lease.Group].Term != lease.Term || s.VMs[w.config.VM].Boot != w.config.Boot {
		return false
	}
	return now.Before(lease.Until) && w.confirmed[lease.Group] <= lease.Version
}

// LeaseEvidenceAge returns how long ago the last proof for a group was, of whichever kind.
func (w *Cache) LeaseEvidenceAge(now time.Time, group model.GroupName) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.leaseEvidenceAt(group))
}

// leaseEvidenceAt returns the instant of the last proof for a group; the caller holds the lock.
func (w *Cache) leaseEvidenceAt(group model.GroupName) time.Time {
	proof := w.tableCurrentAt
	if at := w.termCheckedAt[group]; at.After(proof) {
		proof = at
	}
	return proof
}
