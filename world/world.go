package world

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
)

type (
	// Config tells a World about its VM.
	Config struct {
		VM   model.VMID
		Boot model.BootID
		// LeaseTTL is how long after a proof the primary of a term may be used.
		LeaseTTL time.Duration
	}

	// Cache is the belief of a VM; it is safe for concurrent use.
	Cache struct {
		config Config
		state  atomic.Pointer[Snapshot]

		mu sync.Mutex
		// policyRow and tableVersions are the newest versions that were applied.
		policyRow     int64
		tableVersions map[model.TableName]int64
		// tableCurrentAt is the newest instant at which no row of the own table was newer.
		tableCurrentAt time.Time
		// termCheckedAt is the newest instant at which a replica of a group was not paused for a later term.
		termCheckedAt map[model.GroupName]time.Time
		// revoked holds the version of the intent up to which a group's rows prove nothing.
		revoked map[model.GroupName]int64
		// confirmed holds the version of the intent up to which this VM confirmed that it stopped using a group's primary.
		confirmed map[model.GroupName]int64
		// lapsed holds the instances whose registration is gone.
		lapsed map[model.InstanceName]bool
		// replicaRemovedAt holds when a replica of a group was last forgotten, and restarted when one last started anew.
		replicaRemovedAt   map[model.GroupName]time.Time
		replicaRestartedAt map[model.GroupName]time.Time
		// instancesCurrentAt is the newest instant at which no registration was newer.
		instancesCurrentAt time.Time
		// vmRemovedAt is when the row of a VM was last seen deleted.
		vmRemovedAt time.Time
	}
)

// New returns an empty belief.
func New(config Config) *Cache {
	w := &Cache{
		config:             config,
		tableVersions:      map[model.TableName]int64{},
		termCheckedAt:      map[model.GroupName]time.Time{},
		revoked:            map[model.GroupName]int64{},
		confirmed:          map[model.GroupName]int64{},
		lapsed:             map[model.InstanceName]bool{},
		replicaRemovedAt:   map[model.GroupName]time.Time{},
		replicaRestartedAt: map[model.GroupName]time.Time{},
	}
	w.state.Store(newState())
	return w
}

// Snapshot returns the present belief.
func (w *Cache) Snapshot() *Snapshot { return w.state.Load() }

// SetPolicy puts settings of a row version in force; older ones are ignored.
func (w *Cache) SetPolicy(version int64, p *policy.Policy) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.state.Load().Policy
	if version <= w.policyRow || (current != nil && p.Version < current.Version) {
		return false
	}
	w.policyRow = version
	next := w.state.Load().clone()
	next.Policy = p
	w.state.Store(next)
	return true
}

// ApplyInstances applies changed registrations, or all of them where whole is true, and returns the instances that lapsed; at is an
// instant at which version was the newest.
//
// A registration that is gone stays in use until Forget: it may only have lapsed while the store was away.
func (w *Cache) ApplyInstances(version int64, full bool, present []model.Instance, gone []model.InstanceName, at time.Time) []model.InstanceName {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version < w.tableVersions[instancesTable] {
		return nil
	}
	if at.After(w.instancesCurrentAt) {
		w.instancesCurrentAt = at
	}
	if version == w.tableVersions[instancesTable] && !full {
		return nil
	}
	w.tableVersions[instancesTable] = version
	next := w.state.Load().clone()
	registered := make(map[model.InstanceName]bool, len(present))
	for _, i := range present {
		if before, known := next.Instances[i.Name]; known && !before.StartedAt.Equal(i.StartedAt) && next.Primaries[i.Group].Primary != i.Name {
			w.replicaRestartedAt[i.Group] = at
		}
		next.Instances[i.Name] = i
		registered[i.Name] = true
		delete(w.lapsed, i.Name)
	}
	if full {
		gone = missing(next.Instances, registered)
	}
	for _, name := range gone {
		w.lapsed[name] = true
	}
	w.state.Store(next)
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

// RemoveInstance drops an instance that lapsed and has not registered since.
func (w *Cache) RemoveInstance(now time.Time, name model.InstanceName) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.lapsed[name] {
		return false
	}
	delete(w.lapsed, name)
	next := w.state.Load().clone()
	if gone, known := next.Instances[name]; known && next.Primaries[gone.Group].Primary != name {
		w.replicaRemovedAt[gone.Group] = now
	}
	delete(next.Instances, name)
	w.state.Store(next)
	return true
}

// soleReplicaWindow is how long a replica that left may be the only one that confirmed a commit: the others receive it within the lag.
const soleReplicaWindow = 20 * time.Second

// ReplicaRemovedRecently tells whether a replica of a group was forgotten lately.
func (w *Cache) ReplicaRemovedRecently(now time.Time, group model.GroupName) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, known := w.replicaRemovedAt[group]
	return known && now.Sub(at) < soleReplicaWindow
}

// instancesTable is the key under which the version of the registrations is kept.
const instancesTable model.TableName = "Instances"

// ApplyRows applies rows of the own table and the proof that comes with them; at is an instant at which version was the newest.
func (w *Cache) ApplyRows(version int64, full bool, rows []model.StoredRow, at time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version < w.tableVersions[Table] {
		return nil
	}
	if at.After(w.tableCurrentAt) {
		w.tableCurrentAt = at
	}
	w.tableVersions[Table] = version
	if len(rows) == 0 && !full {
		return nil
	}
	next := w.state.Load().clone()
	if full {
		fresh := newState()
		next.Primaries, next.VMs, next.Coordinator = fresh.Primaries, fresh.VMs, fresh.Coordinator
	}
	before := w.state.Load().VMs
	var errs []error
	for _, r := range rows {
		if err := next.apply(r); err != nil {
			errs = append(errs, err)
		}
	}
	w.recordRemovedVMs(before, next.VMs, at)
	w.state.Store(next)
	return errors.Join(errs...)
}

// recordRemovedVMs remembers when the row of a VM was last deleted.
func (w *Cache) recordRemovedVMs(before, after map[model.VMID]VM, at time.Time) {
	for name := range before {
		if _, there := after[name]; !there && at.After(w.vmRemovedAt) {
			w.vmRemovedAt = at
		}
	}
}

// VMRemovedRecently tells whether the row of a VM was deleted lately: such a VM cannot be asked what it knows to be acknowledged.
func (w *Cache) VMRemovedRecently(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.vmRemovedAt.IsZero() && now.Sub(w.vmRemovedAt) < soleReplicaWindow
}

// TableCurrentAt returns the newest instant at which the own table was known to be current.
func (w *Cache) TableCurrentAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tableCurrentAt
}

// TableVersion returns the version up to which the own table is known.
func (w *Cache) TableVersion() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tableVersions[Table]
}
