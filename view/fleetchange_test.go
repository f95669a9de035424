package view

import (
	"slices"
	"strconv"

	"github.com/crocusshore/crocusshore/model"
)

// commit commits a change whose answer can be lost; only an answer that came starts an activation.
func (r *fleetRun) commit(vm *runVM) {
	change := Change{}
	_ = change.Put(PlacementKey("G"), Placement{Term: model.Term(len(r.store))})
	r.commitChange(vm, change)
}

func (r *fleetRun) commitChange(vm *runVM, change Change) {
	if !r.reachesStore(vm) || vm.holder.State().Version != model.Version(len(r.store)) {
		return
	}
	before := vm.holder.State()
	after := r.append(change)
	committed := r.store[len(r.store)-1]
	lost := r.random.IntN(4) == 0
	r.after(vm, func() {
		if lost {
			r.faults["lost answer"]++
			return
		}
		_ = vm.holder.Apply(r.store[:committed.Version])
		activation := NewActivation(ActivationConfig{Before: before, After: after, Change: committed, CommittedBy: r.clock(vm)})
		if !r.rule.oldSetToo {
			activation.sets = [][]Member{after.Stewards.Current}
		}
		r.activations = append(r.activations, &runActivation{owner: vm, boot: vm.boot, Activation: activation})
	})
}

// changeStewards replaces the stewards, or completes a replacement that is in force.
func (r *fleetRun) changeStewards(vm *runVM) {
	state := vm.holder.State()
	change := Change{}
	if len(state.Stewards.Previous) == 0 {
		next := Stewards{Current: r.members(runStewards), Previous: state.Stewards.Current, Since: state.Version + 1}
		_ = change.Put(StewardsKey(), next)
		r.commitChange(vm, change)
		return
	}
	for _, activation := range r.activations {
		owned := activation.owner == vm && activation.boot == vm.boot
		if owned && activation.Version() == state.Stewards.Since && activation.InEffect(r.clock(vm)) {
			_ = change.Put(StewardsKey(), Stewards{Current: state.Stewards.Current, Since: state.Stewards.Since})
			r.commitChange(vm, change)
			r.faults["stewards replaced"]++
			return
		}
	}
}

// tell lets the owner of an activation tell one missing steward.
func (r *fleetRun) tell(vm *runVM) {
	for _, activation := range r.activations {
		if activation.owner != vm || activation.boot != vm.boot {
			continue
		}
		for _, member := range activation.Missing() {
			id, _ := strconv.Atoi(string(member.VM))
			at := slices.IndexFunc(r.vms, func(other *runVM) bool { return other.id == id })
			r.tellOne(vm, r.vms[at], activation, member)
		}
	}
}

func (r *fleetRun) tellOne(vm, peer *runVM, activation *runActivation, member Member) {
	if !r.reaches(vm, peer) {
		return
	}
	sentAge := r.clock(vm).Sub(activation.committedBy)
	r.after(peer, func() {
		_ = peer.holder.Apply(r.store[:activation.Version()])
		if r.rule.announceProves {
			peer.holder.Confirm(Confirmation{Version: activation.Version(), At: r.clock(peer).Add(-sentAge - maxDelay)})
		}
		boot, version := peer.boot, peer.holder.State().Version
		r.after(vm, func() {
			if boot != member.Boot || version >= activation.Version() {
				activation.Acknowledge(r.clock(vm), member.Boot)
			}
		})
	})
}
