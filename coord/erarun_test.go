package coord

import (
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/state"
)

// claim claims the coordinator lease if the real decision allows it.
func (vm *worldVM) claim(s *state.Snapshot, then func(*worldRun)) {
	row := s.Coordinator
	wanted := vm.lease.claimOf(row, vm.lease.isOwn(row))
	if vm.busy || !elect.MayClaim(vm.w.now, wanted) {
		return
	}
	next := vm.lease.next(vm.w.now, row)
	if !vm.rules.eraInToken {
		next.Fence = row.Fence + 1
	}
	vm.busy, vm.idleTil = true, vm.w.now.Add(retryDelay)
	boot := vm.boot
	vm.w.at(vm.w.now.Add(4*time.Second), func() {
		if vm.boot == boot && vm.run == nil {
			vm.busy = false // The answer was lost, or the change was not made.
		}
	})
	vm.writeLease(next, row.Version, func(version int64) {
		if vm.rules.eraInToken && state.EraOfFence(next.Fence) != model.EraOf(version) {
			return
		}
		then(&worldRun{fence: next.Fence, leaseVersion: version, released: map[model.VMID]bool{}, deadline: vm.w.now.Add(replaceTimeout)})
	})
}

func (vm *worldVM) writeLease(next state.CoordinatorLease, expected int64, then func(version int64)) {
	next.Write = state.NewWriteID()
	row, err := next.Row()
	require.NoError(vm.w.t, err)
	vm.apply([]model.StoredRow{{Key: row.Key, Version: expected}}, []model.StoredRow{row}, then)
}

// giveUp gives the lease up and ends the run.
func (vm *worldVM) giveUp(run *worldRun) {
	vm.writeLease(state.CoordinatorLease{Holder: vm.name, Boot: vm.boot, Fence: run.fence, Released: true}, run.leaseVersion, func(int64) {})
	vm.run, vm.busy, vm.idleTil = nil, false, vm.w.now.Add(retryDelay)
}

// replace begins a replacement, or resumes the one that a record announces.
func (vm *worldVM) replace(s *state.Snapshot, record state.PrimaryRecord) {
	vm.claim(s, func(run *worldRun) {
		run.record, run.resumed = record, record.Next != nil
		next := record
		next.Next = &state.Intent{Term: record.Term + 1, Holder: vm.name, Fence: run.fence}
		vm.run = run
		vm.writeRecord(run, next, func(version int64) {
			next.Version = version
			run.record, run.announcedAt = next, vm.w.now
			vm.askForReleases(run)
		})
	})
}

// writeRecord writes a primary record under the conditions that writeRecord of a replacement has.
func (vm *worldVM) writeRecord(run *worldRun, next state.PrimaryRecord, then func(version int64)) {
	next.Era, next.Write = model.EraOf(run.record.Version), state.NewWriteID()
	row, err := next.Row()
	require.NoError(vm.w.t, err)
	expected := []model.StoredRow{{Key: row.Key, Version: run.record.Version}, {Key: state.KeyCoordinator, Version: run.leaseVersion}}
	vm.apply(expected, []model.StoredRow{row}, then)
}

func (vm *worldVM) askForReleases(run *worldRun) {
	for _, other := range vm.w.vms {
		vm.w.after(func() {
			if !other.alive {
				return
			}
			other.cache.Revoke(worldGroup, run.record.Version)
			other.cache.Confirm(worldGroup, run.record.Version)
			vm.w.after(vm.ifSame(func() { run.released[other.name] = true }))
		})
	}
}

// continueRun does the next step of the run.
func (vm *worldVM) continueRun() {
	run, now := vm.run, vm.w.now
	s := vm.cache.Snapshot()
	_, unconfirmed := s.Unconfirmed[worldGroup]
	ended := now.After(run.deadline) || (run.target == "" && (unconfirmed || s.Primaries[worldGroup].Version > run.record.Version))
	switch {
	case run.target != "":
		vm.awaitEffect(run)
	case ended:
		vm.giveUp(run)
	case run.announcedAt.IsZero():
	case run.resumed && vm.completePromoted(run):
	default:
		vm.seek(run, s)
	}
}

// completePromoted records an instance that leads the announced term already.
func (vm *worldVM) completePromoted(run *worldRun) bool {
	for _, name := range []model.InstanceName{"i-1", "i-2", "i-3"} {
		if reported, answers := vm.w.stateOf(name); answers && reported.Role == model.RolePrimary && reported.Term >= run.record.Next.Term {
			vm.complete(run, name, reported.Term)
			return true
		}
	}
	return false
}

// seek pauses the replicas and chooses one once the leases have ended.
func (vm *worldVM) seek(run *worldRun, s *state.Snapshot) {
	replicas := vm.pauseReplicas(run, s)
	switch {
	case !elect.AllPaused(replicas):
		run.pausedAt = time.Time{}
	case run.pausedAt.IsZero():
		run.pausedAt = vm.w.now
	}
	allReleased := vm.cache.TableVersion() >= run.record.Version
	for name := range s.VMs {
		allReleased = allReleased && run.released[name]
	}
	waited := !run.pausedAt.IsZero() && vm.w.now.Sub(run.pausedAt) >= worldTTL+feedDelay
	if !allReleased && !waited {
		return
	}
	chosen, ok := elect.Choose(elect.Evidence{Replicas: replicas, AllReleased: allReleased, Recorded: run.record.Replicas, StartsSettled: true})
	if ok {
		vm.order(run, chosen.Instance.Name)
	}
}

// pauseReplicas pauses the instances other than the old primary, and returns what they answer.
func (vm *worldVM) pauseReplicas(run *worldRun, s *state.Snapshot) []elect.Replica {
	var replicas []elect.Replica
	for _, i := range s.GroupInstances(worldGroup) {
		if i.Name == run.record.Primary {
			continue
		}
		w := vm.w.instances[i.Name]
		if !w.down && w.role == model.RoleReplica && run.record.Next.Term > max(w.term, w.held) {
			w.held = run.record.Next.Term
		}
		reported, answers := vm.w.stateOf(i.Name)
		replicas = append(replicas, elect.Replica{
			Instance: i, Paused: answers && reported.Role == model.RoleReplica && reported.Held >= run.record.Next.Term, PausedTerm: reported.Held, Received: reported.Received,
		})
	}
	return replicas
}

// order records an order and sends it within the time that it has for that.
func (vm *worldVM) order(run *worldRun, target model.InstanceName) {
	run.target, run.recordedAt = target, vm.w.now
	orders := []state.SentOrder{{ID: state.NewOrderID(), Group: worldGroup, Kind: state.OrderPromote, Target: target, Term: run.record.Next.Term}}
	next := state.CoordinatorLease{Holder: vm.name, Boot: vm.boot, Fence: run.fence, Orders: orders}
	vm.writeLease(next, run.leaseVersion, func(version int64) {
		run.leaseVersion = version
		reported, answers := vm.w.stateOf(target)
		if vm.w.now.After(elect.SendBy(run.recordedAt)) || !answers || reported.Held < run.record.Next.Term {
			vm.giveUp(run)
			return
		}
		delay := time.Duration(vm.w.random.Int64N(int64(worldDelay)))
		if vm.w.random.IntN(3) == 0 {
			delay = time.Duration(vm.w.random.Int64N(int64(lateOrder)))
		}
		vm.w.at(vm.w.now.Add(delay), func() { vm.w.promote(vm.name, run.fence, target) })
	})
}

// awaitEffect records the promoted instance, or ends the run once the order cannot be under way.
func (vm *worldVM) awaitEffect(run *worldRun) {
	reported, answers := vm.w.stateOf(run.target)
	switch {
	case answers && reported.Role == model.RolePrimary && reported.Term >= run.record.Next.Term:
		vm.complete(run, run.target, reported.Term)
	case vm.w.now.After(elect.SettledBy(run.recordedAt)):
		vm.giveUp(run)
	}
}

// complete records the new primary and gives the lease up.
func (vm *worldVM) complete(run *worldRun, primary model.InstanceName, term model.Term) {
	registered := vm.cache.Snapshot().GroupInstances(worldGroup)
	all := elect.CompareReplicas(run.record.Replicas, registered).Add(slices.Clone(run.record.Replicas))
	next := state.PrimaryRecord{Group: worldGroup, Term: term, Primary: primary, Replicas: without(all, primary)}
	vm.run = nil
	vm.writeRecord(run, next, func(int64) { vm.giveUp(run) })
	boot := vm.boot
	vm.w.at(vm.w.now.Add(4*time.Second), func() {
		if vm.boot == boot && vm.run == nil {
			vm.busy = false
		}
	})
}
