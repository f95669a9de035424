package state

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
)

type (
	// Config describes the VM that owns a Cache.
	Config struct {
		VM   model.VMID
		Boot model.BootID
		// LeaseTTL is how long a primary may be used after the newest evidence for the lease; see Cache.Lease.
		LeaseTTL time.Duration
	}

	// Cache is a VM's cached copy of the cluster state; it is safe for concurrent use.
	Cache struct {
		config   Config
		snapshot atomic.Pointer[Snapshot]

		mu sync.Mutex
		// policyRowVersion and tableVersions are the newest versions of the settings row and of the tables that were applied.
		policyRowVersion int64
		tableVersions    map[model.TableName]int64
		// tableCurrentAt is the newest instant at which Table is known to have had no newer row than those applied here, and earlierEraAt the newest
		// one in an earlier era of the store. eraSince is the first instant at which the present era is known to have begun.
		tableCurrentAt, earlierEraAt, eraSince time.Time
		// termCheckedAt is the newest instant at which a replica of a group was not paused for a later term.
		termCheckedAt map[model.GroupName]time.Time
		// revoked holds the lowest version at which the row of a group may give a lease again.
		revoked map[model.GroupName]int64
		// confirmed holds the highest version of an intent for which this VM confirmed that it stopped using a group's primary.
		confirmed map[model.GroupName]int64
		// expired holds the instances that are still in use although their registration is gone, and the instant as of which it was.
		expired map[model.InstanceName]time.Time
		// replicaRemovedAt holds when a replica of a group was last removed.
		replicaRemovedAt map[model.GroupName]time.Time
		// formerAddresses holds the addresses of the instances that were removed.
		formerAddresses map[model.InstanceName]netip.AddrPort
		// instancesCurrentAt is the newest instant at which no registration was newer than those applied here, and instancesReadSince the
		// instant since which the registrations have been read without a gap of maxUnreadTime.
		instancesCurrentAt time.Time
		instancesReadSince time.Time
		// evacuatedVersion is the version of the settings table in the last reading of the evacuated failure domains.
		evacuatedVersion int64
		// vmRemovedAt is when a deletion of a VM's row was last observed.
		vmRemovedAt time.Time
	}
)

// New returns an empty cache.
func New(config Config) *Cache {
	c := &Cache{
		config:           config,
		tableVersions:    map[model.TableName]int64{},
		termCheckedAt:    map[model.GroupName]time.Time{},
		revoked:          map[model.GroupName]int64{},
		confirmed:        map[model.GroupName]int64{},
		expired:          map[model.InstanceName]time.Time{},
		replicaRemovedAt: map[model.GroupName]time.Time{},
		formerAddresses:  map[model.InstanceName]netip.AddrPort{},
	}
	c.snapshot.Store(newSnapshot())
	return c
}

// Snapshot returns the present snapshot.
func (c *Cache) Snapshot() *Snapshot { return c.snapshot.Load() }

// SetPolicy puts settings into effect that were read from a row at a version, and reports whether it did. It ignores a row that is not
// newer than the last one, and settings whose own version is lower than that of the settings in effect.
func (c *Cache) SetPolicy(version int64, p *policy.Policy) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.snapshot.Load().Policy
	if version <= c.policyRowVersion || (current != nil && p.Version < current.Version) {
		return false
	}
	c.policyRowVersion = version
	next := *c.snapshot.Load() // The maps do not change once they are published.
	next.Policy = p
	c.snapshot.Store(&next)
	return true
}

// PolicyRowVersion returns the version of the row that the settings in effect were read from.
func (c *Cache) PolicyRowVersion() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.policyRowVersion
}

// ApplyInstances applies changed registrations, or all of them if full is true, and returns the instances whose registration is gone; at
// is an instant at which version was the newest.
//
// An instance whose registration is gone stays in use until RemoveInstance: the registration may only have expired while the store was
// unreachable.
func (c *Cache) ApplyInstances(version int64, full bool, present []model.Instance, gone []model.InstanceName, at time.Time) []model.InstanceName {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version < c.tableVersions[instancesTable] {
		return nil
	}
	c.recordInstancesRead(at)
	if version == c.tableVersions[instancesTable] && !full {
		return nil
	}
	c.tableVersions[instancesTable] = version
	next := c.snapshot.Load().clone()
	registered := make(map[model.InstanceName]bool, len(present))
	for _, i := range present {
		next.Instances[i.Name] = i
		registered[i.Name] = true
		delete(c.expired, i.Name)
	}
	if full {
		gone = missing(next.Instances, registered)
	}
	for _, name := range gone {
		c.expired[name] = at
	}
	c.snapshot.Store(next)
	return gone
}

func missing(all map[model.InstanceName]model.Instance, registered map[model.InstanceName]bool) []model.InstanceName {
	var gone []model.InstanceName
	for name := range all {
		if !registered[name] {
			gone = append(gone, name)
		}
	}
	return gone
}

// RemoveInstance removes an instance whose registration expired, and reports whether it did; one that registered again since then stays.
func (c *Cache) RemoveInstance(now time.Time, name model.InstanceName) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, expired := c.expired[name]; !expired {
		return false
	}
	delete(c.expired, name)
	next := c.snapshot.Load().clone()
	if gone, known := next.Instances[name]; known && next.Primaries[gone.Group].Primary != name {
		c.replicaRemovedAt[gone.Group] = now
	}
	c.formerAddresses[name] = next.Instances[name].Address
	delete(next.Instances, name)
	c.snapshot.Store(next)
	return true
}

// instancesTable is the key of the registrations in tableVersions.
const instancesTable model.TableName = "Instances"

// ApplyRows applies rows of Table, all of them if full is true and otherwise those that changed; at is an instant at which version was
// the newest, which counts as evidence for leases. It ignores a version that is older than the cached one. The error names the rows that
// could not be decoded; the others are applied.
func (c *Cache) ApplyRows(version int64, full bool, rows []model.StoredRow, at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version < c.tableVersions[Table] {
		return nil
	}
	c.recordTableCurrent(version, at)
	if len(rows) == 0 && !full {
		return nil
	}
	next := c.snapshot.Load().clone()
	if full {
		fresh := newSnapshot()
		next.Primaries, next.VMs, next.Coordinator = fresh.Primaries, fresh.VMs, fresh.Coordinator
	} else {
		next.restoreUnconfirmed() // Rows that did not change stay as they are.
	}
	before := c.snapshot.Load().VMs
	var errs []error
	for _, r := range rows {
		if err := next.apply(r); err != nil {
			errs = append(errs, err)
		}
	}
	next.keepConfirmed(c.snapshot.Load().Primaries, model.EraOf(version))
	c.recordRemovedVMs(before, next.VMs, at)
	c.snapshot.Store(next)
	return errors.Join(errs...)
}

// recordTableCurrent records that Table was current at a version; the caller holds the lock.
func (c *Cache) recordTableCurrent(version int64, at time.Time) {
	known := c.tableVersions[Table]
	if model.EraOf(version) > model.EraOf(known) || c.eraSince.IsZero() {
		c.earlierEraAt, c.eraSince = c.tableCurrentAt, at
	}
	if at.After(c.tableCurrentAt) {
		c.tableCurrentAt = at
	}
	c.tableVersions[Table] = version
}

// Era returns the present era of the store, and the first instant at which this process knows it to have begun.
func (c *Cache) Era() (era int64, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return model.EraOf(c.tableVersions[Table]), c.eraSince
}

// recordRemovedVMs records when the row of a VM was last deleted.
func (c *Cache) recordRemovedVMs(before, after map[model.VMID]VM, at time.Time) {
	for name := range before {
		if _, there := after[name]; !there && at.After(c.vmRemovedAt) {
			c.vmRemovedAt = at
		}
	}
}

// removedVMWindow is how long the commits that a VM acknowledged before its row was deleted may be unknown to all others.
const removedVMWindow = 20 * time.Second

// VMRemovedRecently reports whether the row of a VM was deleted within removedVMWindow: such a VM cannot be asked which commits it
// observed to be acknowledged.
func (c *Cache) VMRemovedRecently(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.vmRemovedAt.IsZero() && now.Sub(c.vmRemovedAt) < removedVMWindow
}

// TableCurrentAt returns the newest instant at which the cached rows of Table are known to have been current.
func (c *Cache) TableCurrentAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tableCurrentAt
}

// TableVersion returns the version up to which Table is cached.
func (c *Cache) TableVersion() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tableVersions[Table]
}
