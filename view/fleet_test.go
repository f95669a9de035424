package view

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// randomRun is one random schedule in virtual time, with real caches and activations on a simulated store and network.
type randomRun struct {
	random         *rand.Rand
	rule           runRule
	now            time.Duration
	vms            []*runVM
	boots          int
	store          []Change
	states         []*State
	storeDown      bool
	isolatedDomain int
	events         []runEvent
	activations    []*runActivation
	faults         map[string]int
	acts           int
	inEffect       int
	highest        model.Version
	violation      string
}

type runActivation struct {
	owner *runVM
	boot  model.BootID
	*Activation
}

func newRandomRun(seed uint64, rule runRule) *randomRun {
	r := &randomRun{random: rand.New(rand.NewPCG(seed, 3)), rule: rule, isolatedDomain: -1, faults: map[string]int{}, states: []*State{Empty()}}
	for i := range runVMs {
		r.vms = append(r.vms, &runVM{id: i, domain: i % 3})
		r.boot(r.vms[i])
	}
	first := Change{}
	settings := map[string]string{"WriteBound": "1s", "KeyBound": "1s", "StewardTerm": "10s"}
	_ = first.Put(NodeKey("Fleet"), settings)
	_ = first.Put(StewardsKey(), Stewards{Current: r.members(runStewards), Since: 1})
	r.append(first)
	return r
}

func (r *randomRun) boot(vm *runVM) {
	r.boots++
	vm.boot = model.BootID(fmt.Sprintf("boot-%d", r.boots))
	vm.cache = NewCache(vm.boot)
	vm.clockRate = 1 + maxDrift*(2*r.random.Float64()-1)
	vm.pausedUntil = 0
}

// clock returns the time on a VM's own clock, which drifts.
func (r *randomRun) clock(vm *runVM) time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(r.now) * vm.clockRate))
}

func (r *randomRun) members(count int) []Member {
	var members []Member
	for _, i := range r.random.Perm(len(r.vms))[:count] {
		vm := r.vms[i]
		members = append(members, Member{VM: model.VMID(strconv.Itoa(vm.id)), Boot: vm.boot})
	}
	return members
}

func (r *randomRun) append(change Change) *State {
	newest := r.states[len(r.states)-1]
	change = Stamp(change, newest.Version, strconv.Itoa(r.boots), time.Time{})
	next, err := newest.Apply(change)
	if err != nil {
		panic(err)
	}
	r.store = append(r.store, change)
	r.states = append(r.states, next)
	return next
}

// after runs a step after a random delay, once the VM is not paused; the step is dropped if the process ended meanwhile.
func (r *randomRun) after(vm *runVM, run func()) {
	boot := vm.boot
	var deliver func()
	deliver = func() {
		if vm.boot != boot {
			return
		}
		if r.now < vm.pausedUntil {
			r.events = append(r.events, runEvent{at: vm.pausedUntil, run: deliver})
			return
		}
		run()
	}
	delay := time.Duration(r.random.Int64N(int64(maxDelay)))
	r.events = append(r.events, runEvent{at: r.now + delay, run: deliver})
}

func (r *randomRun) reaches(a, b *runVM) bool {
	return r.isolatedDomain < 0 || (a.domain == r.isolatedDomain) == (b.domain == r.isolatedDomain)
}

func (r *randomRun) reachesStore(vm *runVM) bool {
	return !r.storeDown && vm.domain != r.isolatedDomain
}

func (r *randomRun) run() {
	for r.now < runLength && r.violation == "" {
		r.now += time.Duration(r.random.Int64N(int64(20 * time.Millisecond)))
		r.deliverDue()
		r.random.Shuffle(len(r.vms), func(i, j int) { r.vms[i], r.vms[j] = r.vms[j], r.vms[i] })
		r.step(r.vms[0])
		r.check()
	}
}

func (r *randomRun) deliverDue() {
	slices.SortStableFunc(r.events, func(a, b runEvent) int { return int(a.at - b.at) })
	for len(r.events) > 0 && r.events[0].at <= r.now {
		event := r.events[0]
		r.events = r.events[1:]
		event.run()
	}
}

func (r *randomRun) step(vm *runVM) {
	if r.now < vm.pausedUntil {
		return
	}
	switch event := r.random.IntN(1000); {
	case event < 300:
		r.readStore(vm)
	case event < 500:
		r.askPeer(vm, r.vms[1])
	case event < 750:
		r.askStewards(vm)
	case event < 930:
		r.announce(vm)
	case event < 950:
		r.commit(vm)
	case event < 970:
		r.changeStewards(vm)
	case event < 980:
		r.fault(vm, r.random.IntN(40))
	}
}

func (r *randomRun) fault(vm *runVM, event int) {
	switch {
	case event < 10:
		r.storeDown = !r.storeDown
		r.faults["store outage"]++
	case event < 20:
		r.isolatedDomain = r.random.IntN(6) - 3
		r.faults["partition"]++
	case event < 30:
		vm.pausedUntil = r.now + time.Duration(r.random.Int64N(int64(4*time.Second)))
		r.faults["pause"]++
	case event < 34:
		r.boot(vm)
		r.faults["restart"]++
	default:
		// Two faults at the same time.
		r.boot(r.vms[1])
		r.vms[2].pausedUntil = r.now + 2*time.Second
		r.faults["restart and pause"]++
	}
}

func (r *randomRun) readStore(vm *runVM) {
	sentAt := r.clock(vm)
	if !r.reachesStore(vm) {
		return
	}
	r.after(vm, func() {
		if !r.reachesStore(vm) {
			return
		}
		changes := slices.Clone(r.store)
		r.after(vm, func() {
			_ = vm.cache.Apply(changes)
			vm.cache.ConfirmFromStore(Confirmation{Version: changes[len(changes)-1].Version, At: sentAt})
		})
	})
}

func (r *randomRun) askPeer(vm, peer *runVM) {
	sentAt := r.clock(vm)
	if !r.reaches(vm, peer) {
		return
	}
	r.after(peer, func() {
		age, known := peer.cache.Age(r.clock(peer))
		version := peer.cache.State().Version
		r.after(vm, func() {
			if known {
				_ = vm.cache.Apply(r.store[:version])
				vm.cache.Confirm(Confirmation{Version: version, At: sentAt.Add(-age)})
			}
		})
	})
}

func (r *randomRun) byBoot(boot model.BootID) *runVM {
	for _, vm := range r.vms {
		if vm.boot == boot {
			return vm
		}
	}
	return nil
}

func (r *randomRun) askStewards(vm *runVM) {
	stewards := vm.cache.State().Stewards
	var answers []Attestation
	sentAt := r.clock(vm)
	for _, member := range stewards.Current {
		steward := r.byBoot(member.Boot)
		if steward == nil || !r.reaches(vm, steward) {
			continue
		}
		r.after(steward, func() {
			answer := steward.cache.Attest(r.clock(steward))
			answer.SentAt = sentAt
			if !r.rule.attestHeldVersion {
				answer.Version = 0
			}
			r.after(vm, func() {
				answers = append(answers, answer)
				if confirmation, ok := ConfirmByStewards(stewards, vm.cache.State().Version, answers); ok {
					vm.cache.Confirm(confirmation)
				}
			})
		})
	}
}

// check asserts that no VM acts on a version after a higher one took effect.
func (r *randomRun) check() {
	r.activations = slices.DeleteFunc(r.activations, func(a *runActivation) bool {
		if a.boot != a.owner.boot || !a.InEffect(r.clock(a.owner)) {
			return false
		}
		if a.Version() > r.highest {
			r.inEffect++
			r.highest = a.Version()
		}
		return a.Version() != a.owner.cache.State().Stewards.Since
	})
	for _, vm := range r.vms {
		bound := time.Duration(float64(time.Second) * r.rule.boundSeconds)
		if r.now < vm.pausedUntil || !vm.cache.ConfirmedWithin(r.clock(vm), bound) {
			continue
		}
		r.acts++
		if held := vm.cache.State().Version; held < r.highest {
			r.violation = fmt.Sprintf("%v: VM %d acts on version %d while %d is in effect", r.now, vm.id, held, r.highest)
		}
		if vm.cache.Reverts() > 0 {
			r.violation = "an installation would have lowered the version"
		}
	}
}
