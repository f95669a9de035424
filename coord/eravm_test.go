package coord

import (
	"fmt"
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/state"
)

type (
	// worldRules are rules that the VMs follow; the schedules must find a broken one.
	worldRules struct {
		// eraInToken puts the era of the store into tokens.
		eraInToken bool
		// quiet confirms a primary only if no order can be under way, and confirmed gives leases only because of confirmed records.
		quiet, confirmed bool
	}

	// worldVM is a process of a VM in a world, with the real cache and the real decisions.
	worldVM struct {
		w     *world
		rules worldRules
		name  model.VMID
		boot  model.BootID
		cache *state.Cache
		lease *coordinatorLease
		// knownEra is the newest era that an answer of the store has told.
		knownEra              int64
		alive, partitioned    bool
		busy                  bool
		run                   *worldRun
		failingSince, idleTil time.Time
		intentVersion         int64
		intentSince           time.Time
		commits               int
	}

	// worldRun is a replacement that a VM runs.
	worldRun struct {
		fence                int64
		leaseVersion         int64
		record               state.PrimaryRecord
		resumed              bool
		announcedAt          time.Time
		pausedAt, recordedAt time.Time
		released             map[model.VMID]bool
		target               model.InstanceName
		deadline             time.Time
	}
)

var correctWorldRules = worldRules{eraInToken: true, quiet: true, confirmed: true}

func newWorldVM(w *world, name model.VMID, rules worldRules) *worldVM {
	vm := &worldVM{w: w, name: name, rules: rules}
	vm.start()
	return vm
}

// start starts a process that knows nothing of the one before.
func (vm *worldVM) start() {
	vm.boot = model.BootID(fmt.Sprint(vm.name, vm.w.now.UnixNano()))
	vm.cache = state.New(state.Config{VM: vm.name, Boot: vm.boot, LeaseTTL: worldTTL})
	vm.lease = &coordinatorLease{self: vm.name, boot: vm.boot, cache: vm.cache, log: log.New(io.Discard)}
	vm.alive, vm.partitioned, vm.busy, vm.run, vm.knownEra = true, false, false, nil, 0
	vm.failingSince, vm.idleTil, vm.intentVersion = time.Time{}, time.Time{}, 0
}

// ifSame returns a function that does something unless the process has ended meanwhile.
func (vm *worldVM) ifSame(do func()) func() {
	boot := vm.boot
	return func() {
		if vm.alive && vm.boot == boot {
			do()
		}
	}
}

func (vm *worldVM) reachesStore() bool { return !vm.partitioned && !vm.w.storeAway }

// poll reads the store.
func (vm *worldVM) poll() {
	sentAt := vm.w.now
	vm.w.after(func() {
		if !vm.reachesStore() {
			return
		}
		version := vm.w.version
		rows := make([]model.StoredRow, 0, len(vm.w.rows))
		for _, row := range vm.w.rows {
			row.Table = state.Table
			if !vm.rules.confirmed {
				row = confirmedCopy(row)
			}
			rows = append(rows, row)
		}
		vm.w.after(vm.ifSame(func() {
			vm.knownEra = max(vm.knownEra, model.EraOf(version))
			require.NoError(vm.w.t, vm.cache.ApplyRows(version, true, rows, sentAt))
			var instances []model.Instance
			for name, i := range vm.w.instances {
				instances = append(instances, model.Instance{Name: name, Group: worldGroup, Role: i.role})
			}
			vm.cache.ApplyInstances(version, true, instances, nil, sentAt)
		}))
	})
}

// confirmedCopy returns a row of a primary record as if it had been written in the era in which it is read.
func confirmedCopy(row model.StoredRow) model.StoredRow {
	s := state.New(state.Config{})
	_ = s.ApplyRows(row.Version, true, []model.StoredRow{row}, time.Unix(0, 0))
	if record, unconfirmed := s.Snapshot().Unconfirmed[worldGroup]; unconfirmed {
		record.Era = model.EraOf(row.Version)
		if copied, err := record.Row(); err == nil {
			copied.Version = row.Version
			return copied
		}
	}
	return row
}

// apply performs a change as the adapter does, and calls then if the change is known to be made.
func (vm *worldVM) apply(expected, writes []model.StoredRow, then func(version int64)) {
	for _, e := range expected {
		if e.Version != 0 && model.EraOf(e.Version) < vm.knownEra {
			return
		}
	}
	delay := time.Duration(vm.w.random.Int64N(int64(worldDelay)))
	if vm.w.random.IntN(12) == 0 {
		delay += time.Duration(vm.w.random.Int64N(int64(3 * time.Second)))
	}
	vm.w.at(vm.w.now.Add(delay), func() {
		if !vm.reachesStore() {
			return
		}
		version, ok := vm.w.apply(expected, writes)
		era, lost := model.EraOf(vm.w.version), vm.w.random.IntN(20) == 0
		vm.w.after(vm.ifSame(func() {
			vm.knownEra = max(vm.knownEra, era)
			for _, e := range expected {
				ok = ok && (e.Version == 0 || model.EraOf(e.Version) == era)
			}
			if ok && !lost {
				then(version)
			}
		}))
	})
}

// act does what the process does on its own in a step.
func (vm *worldVM) act() {
	now, random := vm.w.now, vm.w.random
	if random.IntN(10) == 0 {
		vm.poll()
	}
	if vm.cache.TableVersion() == 0 {
		return
	}
	vm.lease.observe(now)
	s := vm.cache.Snapshot()
	if own := s.VMs[vm.name]; own.Boot != vm.boot && random.IntN(10) == 0 {
		row, err := state.VM{Name: vm.name, Boot: vm.boot}.Row()
		require.NoError(vm.w.t, err)
		vm.apply([]model.StoredRow{{Key: row.Key, Version: own.Version}}, []model.StoredRow{row}, func(int64) {})
	}
	if random.IntN(8) == 0 {
		vm.checkTerm(s.Primaries[worldGroup].Term)
	}
	if random.IntN(50) == 0 {
		vm.write()
	}
	switch {
	case vm.run != nil:
		vm.continueRun()
	case s.VMs[vm.name].Boot == vm.boot && !now.Before(vm.idleTil) && random.IntN(10) == 0:
		vm.decide(s)
	}
}

// checkTerm asks a replica whether it is paused for a later term.
func (vm *worldVM) checkTerm(term model.Term) {
	sentAt := vm.w.now
	name := []model.InstanceName{"i-1", "i-2", "i-3"}[vm.w.random.IntN(3)]
	vm.w.after(func() {
		if state, answers := vm.w.stateOf(name); answers && state.Role == model.RoleReplica && state.Held <= term {
			vm.w.after(vm.ifSame(func() { vm.cache.RecordTermCheck(worldGroup, term, sentAt) }))
		}
	})
}

// write sends a commit to the primary under a lease.
func (vm *worldVM) write() {
	lease, ok := vm.cache.Lease(vm.w.now, worldGroup)
	if !ok {
		return
	}
	vm.commits++
	id := fmt.Sprint(vm.boot, "-", vm.commits)
	vm.w.after(func() {
		primary := vm.w.instances[lease.Primary.Name]
		if primary.down || primary.role != model.RolePrimary {
			return
		}
		primary.log = append(primary.log, id)
		vm.w.terms[id] = primary.term
		primary.waiting[len(primary.log)] = vm.ifSame(func() {
			if vm.cache.MayAcknowledge(vm.w.now, lease) {
				vm.w.acked[id] = true
			}
		})
	})
}

// decide confirms, resumes or replaces a primary if it has to.
func (vm *worldVM) decide(s *state.Snapshot) {
	now := vm.w.now
	if _, unconfirmed := s.Unconfirmed[worldGroup]; unconfirmed {
		vm.confirm(s)
		return
	}
	record := s.Primaries[worldGroup]
	if record.Next != nil && vm.intentVersion != record.Version {
		vm.intentVersion, vm.intentSince = record.Version, now
	}
	status, answers := vm.w.stateOf(record.Primary)
	if answers && status.Role == model.RolePrimary {
		vm.failingSince = time.Time{}
	} else if vm.failingSince.IsZero() {
		vm.failingSince = now
	}
	failed := !vm.failingSince.IsZero() && now.Sub(vm.failingSince) > 500*time.Millisecond
	abandoned := record.Next != nil && (isAbandoned(s, *record.Next) || now.Sub(vm.intentSince) > 6*time.Second)
	if (record.Next == nil && failed) || abandoned {
		vm.replace(s, record)
	}
	if era, since := vm.cache.Era(); state.EraOfFence(s.Coordinator.Fence) < era && elect.OrdersEnded(now, since) {
		vm.claim(s, func(run *worldRun) { vm.giveUp(run) })
	}
}

// confirm does what confirmPrimary does, by the same decision.
func (vm *worldVM) confirm(s *state.Snapshot) {
	stored, known := s.Unconfirmed[worldGroup], s.Primaries[worldGroup]
	era, since := vm.cache.Era()
	group := elect.RestoredGroup{
		Known: elect.RecordedPrimary{Instance: known.Primary, Term: known.Term}, Stored: elect.RecordedPrimary{Instance: stored.Primary, Term: stored.Term},
		Registered: vm.cache.RegisteredAgain(vm.w.now), OrdersEnded: !vm.rules.quiet || elect.OrdersEnded(vm.w.now, since),
	}
	for _, i := range s.GroupInstances(worldGroup) {
		reported, answers := vm.w.stateOf(i.Name)
		group.Standings = append(group.Standings, elect.Standing{Instance: i.Name, Answered: answers && vm.w.random.IntN(8) > 0, State: reported})
	}
	confirmed, ok := elect.ConfirmPrimary(group)
	if !ok {
		return
	}
	record := state.PrimaryRecord{Group: worldGroup, Term: confirmed.Term, Primary: confirmed.Instance, Era: era, Write: state.NewWriteID()}
	record.Replicas = without(mergeReplicas(s.GroupInstances(worldGroup), known, stored), confirmed.Instance)
	if confirmed.Replace {
		record.Next = &state.Intent{Term: confirmed.Term + 1}
	}
	row, err := record.Row()
	require.NoError(vm.w.t, err)
	vm.idleTil = vm.w.now.Add(confirmRetryDelay)
	vm.apply([]model.StoredRow{{Key: row.Key, Version: stored.Version}}, []model.StoredRow{row}, func(int64) {})
}
