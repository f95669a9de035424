package elect

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	orderSchedules  = 400
	orderRunLength  = 90 * time.Second
	orderStep       = 50 * time.Millisecond
	maxObserveDelay = 400 * time.Millisecond
	maxStop         = 20 * time.Second
	// meanStepsToFault is after how many steps on average a VM is killed, and likewise stopped.
	meanStepsToFault = 400
)

type (
	// orderRule tells which precautions the simulated holders of the coordinator lease take; a test must detect that one is missing.
	orderRule struct {
		name string
		// waits keeps others from a lease with an order that may be under way, keeps holds a lease until its orders are settled, checks sends
		// nothing after SendBy, sameToken renews under the same token, counts waits for the answer to each order that was repeated, and asks looks at
		// the target between record and sending, and orders nothing if it leads already.
		// awaits keeps the lease after an answer until the effect of the order shows.
		// inherits takes over the orders of the process before on the same VM together with its lease.
		waits, keeps, checks, sameToken, counts, asks, awaits, inherits bool
	}

	simulatedRow struct {
		holder, boot int
		fence        int64
		// pending is set while an order is recorded, and repeated if it is not the only one.
		pending, repeated bool
		released          bool
		version           int
		// age is how long before the row was written the last order was recorded at least.
		age time.Duration
	}

	simulatedVM struct {
		boot          int
		stoppedUntil  time.Time
		observed      simulatedRow
		observedSince time.Time
		// held is the row as this process wrote it at claimedAt; its fence is 0 if it holds no lease.
		held      simulatedRow
		claimedAt time.Time
		// unsent is set while a recorded order is not sent, and settleBy is when the order cannot be under way any more.
		unsent   bool
		settleBy time.Time
		// recorded counts the orders under this lease, unanswered those without an answer, and answered is set once there was any answer.
		recorded, unanswered int
		answered             bool
		answeredAt           time.Time
	}

	arrival struct {
		at    time.Time
		fence int64
		// failure is the failure of the primary for which the target was ordered.
		failure int
		// sender and boot are the process to which the answer goes, unless it is lost.
		sender, boot int
		answerLost   bool
	}

	// orderSchedule simulates VMs, the row of the coordinator lease and a platform that takes orders late, in virtual time.
	orderSchedule struct {
		random   *rand.Rand
		rule     orderRule
		now      time.Time
		row      simulatedRow
		target   simulatedTarget
		vms      []simulatedVM
		arrivals []arrival
		// seen is the highest token that the platform has seen, and taken counts the orders.
		seen     int64
		taken    int
		violated bool
	}
)

func newOrderSchedule(seed uint64, rule orderRule) *orderSchedule {
	return &orderSchedule{random: rand.New(rand.NewPCG(seed, 33)), rule: rule, now: now, vms: make([]simulatedVM, 3)}
}

func (s *orderSchedule) chance(n int) bool { return s.random.IntN(n) == 0 }

func (s *orderSchedule) draw(most time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(most)))
}

func (s *orderSchedule) run() {
	for end := s.now.Add(orderRunLength); s.now.Before(end) && !s.violated; s.now = s.now.Add(orderStep) {
		s.take()
		s.fail()
		for i := range s.vms {
			s.step(i)
		}
	}
}

// take carries out the orders that arrive now.
func (s *orderSchedule) take() {
	var rest []arrival
	for _, a := range s.arrivals {
		if a.at.After(s.now) {
			rest = append(rest, a)
			continue
		}
		s.violated = s.violated || a.fence < s.seen
		s.seen = max(s.seen, a.fence)
		s.taken++
		s.target.take(a.failure, s.now.Add(s.draw(maxEffectDelay)))
		if vm := &s.vms[a.sender]; vm.boot == a.boot && !a.answerLost {
			vm.unanswered--
			vm.answered, vm.answeredAt = true, s.now
		}
	}
	s.arrivals = rest
	s.target.update(s.now)
}

// step lets one VM act, unless it is stopped. It may be killed or stopped at any step.
func (s *orderSchedule) step(i int) {
	vm := &s.vms[i]
	switch s.random.IntN(meanStepsToFault) {
	case 0:
		*vm = simulatedVM{boot: vm.boot + 1, stoppedUntil: s.now.Add(s.draw(time.Second))}
	case 1:
		vm.stoppedUntil = s.now.Add(s.draw(maxStop))
	}
	if s.now.Before(vm.stoppedUntil) {
		return
	}
	s.observe(vm)
	switch {
	case vm.held.fence == 0:
		s.claim(i)
	case vm.unsent:
		s.send(i)
	default:
		s.settle(vm)
	}
}

func (s *orderSchedule) observe(vm *simulatedVM) {
	if vm.observed.version != s.row.version && s.chance(int(maxObserveDelay/orderStep/2)) {
		vm.observed, vm.observedSince = s.row, s.now
	}
}

// record records an order in a row that was written at an instant.
func (vm *simulatedVM) record(now time.Time, row simulatedRow) {
	vm.held, vm.claimedAt, vm.unsent = row, now, true
	vm.settleBy = SendBy(now).Add(OrderLifetime)
	vm.unanswered++
	vm.recorded++
}

// repeat records the order once more, if nobody has claimed the lease.
func (s *orderSchedule) repeat(vm *simulatedVM) {
	if s.row.version == vm.held.version {
		s.row.version++
		s.row.repeated, s.row.age = true, 0
		vm.record(s.now, s.row)
	}
}

// send sends the recorded order some time after it was recorded, unless its time has passed.
func (s *orderSchedule) send(i int) {
	vm := &s.vms[i]
	if !s.chance(3) {
		return
	}
	vm.unsent = false
	leads, answers := s.ask()
	if (s.rule.checks && !s.now.Before(SendBy(vm.claimedAt))) || (s.rule.asks && (leads || !answers)) {
		vm.unanswered--
		return
	}
	delay := s.draw(100 * time.Millisecond)
	if s.chance(3) {
		delay = s.draw(OrderLifetime)
	}
	s.arrivals = append(s.arrivals, arrival{at: s.now.Add(delay), fence: vm.held.fence, failure: s.target.failure, sender: i, boot: vm.boot, answerLost: s.chance(4)})
}

// isSettled reports whether a holder takes its orders for settled; leads is what it sees of the target.
func (s *orderSchedule) isSettled(vm *simulatedVM, leads bool) bool {
	bySole := leads && vm.recorded == 1 && !vm.held.repeated
	return vm.unanswered == 0 || (vm.answered && !s.rule.counts) || bySole || !s.now.Before(vm.settleBy)
}

// settle gives the lease up once its order is settled. A holder that only expects this too early gives it up after a second.
func (s *orderSchedule) settle(vm *simulatedVM) {
	leads, _ := s.ask()
	if s.rule.awaits && vm.answered && !leads && s.now.Sub(vm.answeredAt) < effectTimeout {
		return
	}
	gaveUp := !s.rule.keeps && s.now.Sub(vm.claimedAt) > time.Second
	switch {
	case gaveUp || s.isSettled(vm, leads):
		s.release(vm, leads)
	case !s.rule.sameToken && s.chance(20):
		vm.held = simulatedRow{} // It claims again, under the next token.
	case s.chance(60):
		s.repeat(vm)
	}
}

// release gives the lease up, unless another VM has claimed it.
func (s *orderSchedule) release(vm *simulatedVM, leads bool) {
	if s.row.version == vm.held.version {
		s.row.released, s.row.pending, s.row.repeated = true, false, false
		s.row.version++
		s.target.replaced = s.target.replaced || leads
	}
	vm.held = simulatedRow{}
}

// TestNoOrderComesUnderAnOlderToken plays processes that are killed or stopped at any moment, and orders that the platform takes late.
func TestNoOrderComesUnderAnOlderToken(t *testing.T) {
	taken := 0
	for seed := range uint64(orderSchedules) {
		s := newOrderSchedule(seed, orderRule{waits: true, keeps: true, checks: true, sameToken: true, counts: true, asks: true, awaits: true, inherits: true})
		s.run()
		require.False(t, s.violated, "seed %d", seed)
		taken += s.taken
	}
	require.Greater(t, taken, orderSchedules, "the holders send orders")
}

func TestMissingPrecautionsOfOrdersAreDetected(t *testing.T) {
	for _, rule := range []orderRule{
		{name: "claims a lease with an order that may be under way", keeps: true, checks: true, sameToken: true, counts: true, asks: true, awaits: true, inherits: true},
		{name: "gives the lease up while an order may be under way", waits: true, checks: true, sameToken: true, counts: true, asks: true, awaits: true, inherits: true},
		{name: "sends an order after a stop", waits: true, keeps: true, sameToken: true, counts: true, asks: true, awaits: true, inherits: true},
		{name: "renews under a higher token", waits: true, keeps: true, checks: true, counts: true, asks: true, awaits: true, inherits: true},
		{name: "takes an answer for that to each order", waits: true, keeps: true, checks: true, sameToken: true, asks: true, awaits: true, inherits: true},
		{name: "orders what an earlier order has carried out", waits: true, keeps: true, checks: true, sameToken: true, counts: true, awaits: true, inherits: true},
		{name: "gives the lease up before the effect of an answered order shows", waits: true, keeps: true, checks: true, sameToken: true, counts: true, asks: true, inherits: true},
		{name: "forgets the orders of the process before", waits: true, keeps: true, checks: true, sameToken: true, counts: true, asks: true, awaits: true},
	} {
		t.Run(rule.name, func(t *testing.T) {
			found := false
			for seed := uint64(0); seed < orderSchedules && !found; seed++ {
				s := newOrderSchedule(seed, rule)
				s.run()
				found = s.violated
			}
			require.True(t, found, "no schedule finds the fault")
		})
	}
}
