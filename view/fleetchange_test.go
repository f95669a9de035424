package view

import (
	"slices"
	"strconv"

	"github.com/crocusshore/crocusshore/model"
)

// commit commits a change whose answer can be lost; an activation starts only if the answer arrives.
func (r *randomRun) commit(vm *runVM) {
	change := Change{}
	_ = change.Put(PlacementKey("G"), Placement{Term: model.Term(len(r.store))})
	r.commitChange(vm, change)
}

func (r *randomRun) commitChange(vm *runVM, change Change) {
	if !r.reachesStore(vm) || vm.cache.State().Version != model.Version(len(r.store)) {
		return
	}
	before := vm.cache.State()
	after := r.append(change)
	committed := r.store[len(r.store)-1]
	lost := r.random.IntN(4) == 0
	r.after(vm, func() {
		if lost {
			r.faults["lost answer"]++
			return
		}
		_ = vm.cache.Apply(r.store[:committed.Version])
		activation := NewActivation(ActivationConfig{Before: before, After: after, Change: committed, CommittedBy: r.clock(vm)})
		if !r.rule.includeOldStewards {
			activation.sets = [][]Member{after.Stewards.Current}
		}
		r.activations = append(r.activations, &runActivation{owner: vm, boot: vm.boot, Activation: activation})
	})
}

// changeStewards replaces the stewards, or completes a replacement that is in effect.
func (r *randomRun) changeStewards(vm *runVM) {
	state := vm.cache.State()
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

// announce lets the owner of activations announce their changes to the stewards that have not acknowledged them.
func (r *randomRun) announce(vm *runVM) {
	for _, activation := range r.activations {
		if activation.owner != vm || activation.boot != vm.boot {
			continue
		}
		for _, member := range activation.Missing() {
			id, _ := strconv.Atoi(string(member.VM))
			at := slices.IndexFunc(r.vms, func(other *runVM) bool { return other.id == id })
			r.announceTo(vm, r.vms[at], activation, member)
		}
	}
}

func (r *randomRun) announceTo(vm, peer *runVM, activation *runActivation, member Member) {
	if !r.reaches(vm, peer) {
		return
	}
	sentAge := r.clock(vm).Sub(activation.committedBy)
	r.after(peer, func() {
		_ = peer.cache.Apply(r.store[:activation.Version()])
		if r.rule.announcementConfirms {
			peer.cache.Confirm(Confirmation{Version: activation.Version(), At: r.clock(peer).Add(-sentAge - maxDelay)})
		}
		boot, version := peer.boot, peer.cache.State().Version
		r.after(vm, func() {
			if boot != member.Boot || version >= activation.Version() {
				activation.Acknowledge(r.clock(vm), member.Boot)
			}
		})
	})
}
