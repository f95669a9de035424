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
		// LeaseBound is how long after a proof the primary of a term may be used.
		LeaseBound time.Duration
	}

	// World is the belief of a VM; it is safe for concurrent use.
	World struct {
		config Config
		state  atomic.Pointer[State]

		mu sync.Mutex
		// policyRow and tableVersions are the newest versions that were applied.
		policyRow     int64
		tableVersions map[model.TableName]int64
		// provenAt is the newest instant at which no row of the own table was newer.
		provenAt time.Time
		// witnessedAt is the newest instant at which a replica of a group was not paused for a later term.
		witnessedAt map[model.GroupName]time.Time
		// revoked holds the version of the intent up to which a group's rows prove nothing.
		revoked map[model.GroupName]int64
		// confirmed holds the version of the intent up to which this VM confirmed that it stopped using a group's primary.
		confirmed map[model.GroupName]int64
		// lapsed holds the instances whose registration is gone.
		lapsed map[model.InstanceName]bool
		// departed holds when a replica of a group was last forgotten, and restarted when one last started anew.
		departed  map[model.GroupName]time.Time
		restarted map[model.GroupName]time.Time
		// registeredAt is the newest instant at which no registration was newer.
		registeredAt time.Time
		// removedAt is when the row of a VM was last seen deleted.
		removedAt time.Time
	}
)

// New returns an empty belief.
func New(config Config) *World {
	w := &World{
		config:        config,
		tableVersions: map[model.TableName]int64{},
		witnessedAt:   map[model.GroupName]time.Time{},
		revoked:       map[model.GroupName]int64{},
		confirmed:     map[model.GroupName]int64{},
		lapsed:        map[model.InstanceName]bool{},
		departed:      map[model.GroupName]time.Time{},
		restarted:     map[model.GroupName]time.Time{},
	}
	w.state.Store(newState())
	return w
}

// State returns the present belief.
func (w *World) State() *State { return w.state.Load() }

// SetPolicy puts settings of a row version in force; older ones are ignored.
func (w *World) SetPolicy(version int64, p *policy.Policy) bool {
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

// SetInstances applies changed registrations, or all of them where whole is true, and returns the instances that lapsed; at is an
// instant at which version was the newest.
//
// A registration that is gone stays in use until Forget: it may only have lapsed while the store was away.
func (w *World) SetInstances(version int64, whole bool, present []model.Instance, gone []model.InstanceName, at time.Time) []model.InstanceName {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version < w.tableVersions[instances] {
		return nil
	}
	if at.After(w.registeredAt) {
		w.registeredAt = at
	}
	if version == w.tableVersions[instances] && !whole {
		return nil
	}
	w.tableVersions[instances] = version
	next := w.state.Load().clone()
	registered := make(map[model.InstanceName]bool, len(present))
	for _, i := range present {
		if before, known := next.Instances[i.Name]; known && !before.Born.Equal(i.Born) && next.Leads[i.Group].Primary != i.Name {
			w.restarted[i.Group] = at
		}
		next.Instances[i.Name] = i
		registered[i.Name] = true
		delete(w.lapsed, i.Name)
	}
	if whole {
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

// Forget drops an instance that lapsed and has not registered since.
func (w *World) Forget(now time.Time, name model.InstanceName) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.lapsed[name] {
		return false
	}
	delete(w.lapsed, name)
	next := w.state.Load().clone()
	if gone, known := next.Instances[name]; known && next.Leads[gone.Group].Primary != name {
		w.departed[gone.Group] = now
	}
	delete(next.Instances, name)
	w.state.Store(next)
	return true
}

// departedTime is how long a replica that left may be the only one that confirmed a commit: the others receive it within the lag.
const departedTime = 20 * time.Second

// Departed tells whether a replica of a group was forgotten lately.
func (w *World) Departed(now time.Time, group model.GroupName) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, known := w.departed[group]
	return known && now.Sub(at) < departedTime
}

// instances is the key under which the version of the registrations is kept.
const instances model.TableName = "Instances"

// SetRows applies rows of the own table and the proof that comes with them; at is an instant at which version was the newest.
func (w *World) SetRows(version int64, whole bool, rows []model.StoredRow, at time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version < w.tableVersions[Table] {
		return nil
	}
	if at.After(w.provenAt) {
		w.provenAt = at
	}
	w.tableVersions[Table] = version
	if len(rows) == 0 && !whole {
		return nil
	}
	next := w.state.Load().clone()
	if whole {
		fresh := newState()
		next.Leads, next.VMs, next.Duty = fresh.Leads, fresh.VMs, fresh.Duty
	}
	before := w.state.Load().VMs
	var broken []error
	for _, r := range rows {
		if err := next.apply(r); err != nil {
			broken = append(broken, err)
		}
	}
	w.noteRemoved(before, next.VMs, at)
	w.state.Store(next)
	return errors.Join(broken...)
}

// noteRemoved remembers when the row of a VM was last deleted.
func (w *World) noteRemoved(before, after map[model.VMID]VM, at time.Time) {
	for name := range before {
		if _, there := after[name]; !there && at.After(w.removedAt) {
			w.removedAt = at
		}
	}
}

// VMsRemoved tells whether the row of a VM was deleted lately: such a VM cannot be asked what it knows to be acknowledged.
func (w *World) VMsRemoved(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.removedAt.IsZero() && now.Sub(w.removedAt) < departedTime
}

// ProvenAt returns the newest instant at which the own table was known to be current.
func (w *World) ProvenAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.provenAt
}

// RowsVersion returns the version up to which the own table is known.
func (w *World) RowsVersion() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tableVersions[Table]
}
