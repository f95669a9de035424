package elect

// isHeld reports whether the row shows that a VM holds the lease, by any of its processes.
func (r simulatedRow) isHeld(vm int) bool { return r.fence > 0 && !r.released && r.holder == vm }

// claimOf returns the state of the lease as a VM observes it; leads is what it sees of the target.
func (s *orderSchedule) claimOf(i int, leads bool) LeaseClaim {
	vm := &s.vms[i]
	row := vm.observed
	return LeaseClaim{
		Released: row.released || row.version == 0, HeldHere: row.isHeld(i), HolderEnded: row.fence > 0 && s.vms[row.holder].boot != row.boot,
		OrderPending: row.pending && s.rule.waits && (row.repeated || !leads), PendingAge: row.age, UnchangedSince: vm.observedSince,
	}
}

// claim claims the lease, if it may, and records an order, unless the target leads already.
func (s *orderSchedule) claim(i int) {
	vm := &s.vms[i]
	row := vm.observed
	leads, _ := s.ask()
	claim := s.claimOf(i, leads)
	if !s.chance(10) || s.target.replaced || !MayClaim(s.now, claim) || row.version != s.row.version {
		return
	}
	next := simulatedRow{holder: i, boot: vm.boot, fence: row.fence + 1, pending: true, version: row.version + 1}
	if row.isHeld(i) && s.rule.sameToken {
		next.fence = row.fence
	}
	vm.recorded, vm.unanswered, vm.answered = 0, 0, false
	if row.isHeld(i) && row.boot != vm.boot && claim.OrderPending && s.rule.inherits {
		vm.recorded, vm.unanswered, next.repeated = 1, 1, row.repeated || !leads
		next.age = s.now.Sub(vm.observedSince) + row.age
		vm.settleBy = SettledBy(s.now.Add(-next.age))
	}
	s.begin(vm, next, leads)
}

// begin lets a VM begin its turn as the holder, with a row that it has written.
func (s *orderSchedule) begin(vm *simulatedVM, next simulatedRow, leads bool) {
	switch {
	case leads && vm.unanswered == 0:
		next.pending, next.released, s.target.replaced = false, true, true
	case leads:
		s.target.replaced, vm.held, vm.claimedAt = true, next, s.now
	default:
		next.age = 0 // The last order is the one that is recorded now.
		vm.record(s.now, next)
	}
	s.row, vm.observed, vm.observedSince = next, next, s.now
}
