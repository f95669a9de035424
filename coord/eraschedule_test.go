package coord

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

const (
	// eraSchedules is the number of random schedules unless eraSchedulesVariable sets another.
	eraSchedules         = 300
	eraSchedulesVariable = "CROCUSSHORE_ERA_SCHEDULES"
	// faultTime is how long a schedule has faults, and settleTime is within which a primary is used again after them.
	faultTime, settleTime = 20 * time.Second, 40 * time.Second
	// minSettle spans the latest orders.
	minSettle = 12 * time.Second
)

// disturb draws the faults of a step.
func (w *world) disturb() {
	switch w.random.IntN(600) {
	case 0:
		i := w.instances[[]model.InstanceName{"i-1", "i-2", "i-3"}[w.random.IntN(3)]]
		i.down = true
		w.at(w.now.Add(time.Duration(w.random.Int64N(int64(4*time.Second)))), func() { i.down = false })
	case 1, 2, 3:
		if i := w.leader(); i != nil {
			i.down = true
			w.at(w.now.Add(time.Duration(w.random.Int64N(int64(12*time.Second)))), func() { i.down = false })
		}
	case 4, 5:
		vm := w.vms[w.random.IntN(len(w.vms))]
		vm.alive = false
		w.at(w.now.Add(time.Duration(w.random.Int64N(int64(time.Second)))), func() {
			if !vm.alive {
				vm.start()
			}
		})
	case 6:
		w.storeAway = true
		w.at(w.now.Add(time.Duration(w.random.Int64N(int64(time.Second)))), func() { w.storeAway = false })
	case 7, 8:
		vm := w.vms[w.random.IntN(len(w.vms))]
		vm.partitioned = true
		w.at(w.now.Add(time.Duration(w.random.Int64N(int64(3*time.Second)))), func() { vm.partitioned = false })
	case 9, 10:
		if len(w.copies) > 0 {
			w.comeBack()
		}
	}
}

// play runs a schedule until its first fault, and reports whether all VMs use one primary in the end.
func (w *world) play(rules worldRules) (settled bool) {
	for i := range worldVMs {
		w.vms = append(w.vms, newWorldVM(w, model.VMID(strconv.Itoa(i)), rules))
	}
	start := w.now
	for ; w.now.Before(start.Add(faultTime+settleTime)) && len(w.faults) == 0; w.now = w.now.Add(worldStep) {
		if w.now.After(start.Add(faultTime+minSettle)) && w.isSettled() {
			return true
		}
		w.deliver()
		w.replicate()
		w.keepCopies()
		if since := w.now.Sub(start); since > 2*time.Second && since < faultTime {
			w.disturb()
		}
		for _, vm := range w.vms {
			if vm.alive {
				vm.act()
			}
		}
		w.checkLeases()
	}
	return w.isSettled()
}

// isSettled reports whether all VMs use the primary, and nothing is under way.
func (w *world) isSettled() bool {
	for _, vm := range w.vms {
		lease, ok := vm.cache.Lease(w.now, worldGroup)
		if !ok || vm.run != nil || w.leader() == nil || lease.Primary.Name != w.leader().name {
			return false
		}
	}
	return true
}

// checkLeases notes a VM that may read an instance which lacks an acknowledged commit.
func (w *world) checkLeases() {
	for _, vm := range w.vms {
		lease, ok := vm.cache.Lease(w.now, worldGroup)
		if !vm.alive || !ok || w.instances[lease.Primary.Name].down {
			continue
		}
		if missing := w.missing(w.instances[lease.Primary.Name]); len(missing) > 0 {
			w.fault("VM %s reads %s, which lacks acknowledged commits %v", vm.name, lease.Primary.Name, missing)
		}
	}
}

func eraScheduleCount(t *testing.T) int {
	t.Helper()
	text := os.Getenv(eraSchedulesVariable)
	if text == "" {
		return eraSchedules
	}
	n, err := strconv.Atoi(text)
	require.NoError(t, err)
	return n
}

// TestReturnsOfTheStoreInRandomSchedules guards against lost commits, stale reads, tokens that fall or repeat, and groups without a primary, whenever the
// store comes back from an older copy.
func TestReturnsOfTheStoreInRandomSchedules(t *testing.T) {
	returns, promotions, commits := int64(0), int64(0), 0
	for seed := range eraScheduleCount(t) {
		w := newWorld(t, uint64(seed))
		settled := w.play(correctWorldRules)
		require.Empty(t, w.faults, "seed %d", seed)
		require.True(t, settled, "seed %d: a primary is used in the end", seed)
		returns += model.EraOf(w.version)
		promotions += int64(w.promotions)
		commits += len(w.acked)
	}
	t.Logf("%d returns of the store, %d promotions, %d acknowledged commits", returns, promotions, commits)
	require.Positive(t, returns)
	require.Positive(t, promotions)
}

// TestBrokenRulesOfReturnsAreFound requires that the schedules find each missing precaution. That the first claim in an era waits matters to other groups only, as
// a group with an order under way is not confirmed before; elect has its test.
func TestBrokenRulesOfReturnsAreFound(t *testing.T) {
	for name, breakRule := range map[string]func(*worldRules){
		"tokens do not name the era":          func(r *worldRules) { r.eraInToken = false },
		"confirms while one may be under way": func(r *worldRules) { r.quiet = false },
		"uses records that are not confirmed": func(r *worldRules) { r.confirmed = false },
	} {
		t.Run(name, func(t *testing.T) {
			rules := correctWorldRules
			breakRule(&rules)
			for seed := range 4 * eraScheduleCount(t) {
				w := newWorld(t, uint64(seed))
				w.play(rules)
				if len(w.faults) > 0 {
					t.Logf("seed %d: %s", seed, w.faults[0])
					return
				}
			}
			require.Fail(t, "no schedule finds the fault")
		})
	}
}
