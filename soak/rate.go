package soak

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

const (
	// rateWindow is the length of the windows in which the operations of a team are counted.
	rateWindow = 5 * time.Second
	// clockFormat is how times of day appear in violations.
	clockFormat = "15:04:05.000"
	// rateTolerance multiplies the number of operations that the rate and burst of a team allow in a window.
	rateTolerance = 1.1
)

type (
	// arrival is the arrival of an operation of a team at an instance; an operation that is tried again arrives again.
	arrival struct {
		at        time.Time
		operation string
		// vm is the VM that the caller sent it to, and instance the one at which it arrived.
		vm       model.VMID
		instance model.InstanceName
		// verb is the first word of the statement, and answer what the instance made of it.
		verb, answer string
	}

	// window is a span of rateWindow with the arrivals in it, oldest first; it is empty if there are none.
	window []arrival
)

// recordOperation records that an operation of a team reached an instance, and returns the number of the arrival.
func (h *history) recordOperation(team model.TeamName, a arrival) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.arrivals[team] = append(h.arrivals[team], a)
	return len(h.arrivals[team]) - 1
}

// recordAnswered records what an instance made of the arrival with a number.
func (h *history) recordAnswered(team model.TeamName, number int, reply model.Reply, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case err != nil:
		h.arrivals[team][number].answer = "none"
	case reply.Fault != "":
		h.arrivals[team][number].answer = string(reply.Fault)
	default:
		h.arrivals[team][number].answer = "ran"
	}
}

// checkRates checks the number of a team's operations in every window and reports the worst one; the caller holds the lock.
func (h *history) checkRates(team model.TeamName, rate, burst float64) {
	allowed := int((rate*rateWindow.Seconds()+burst)*rateTolerance) + rateSlack
	worst := worstWindow(h.arrivals[team])
	h.rate = fmt.Sprintf("worst window %d of %d, %d repeated", len(worst), allowed, worst.repeated())
	if len(worst) <= allowed {
		return
	}
	h.addViolationLocked("rate: %d operations of %s in %s, %d are allowed; the worst window, from %s to %s, %d of them repeated, through %d VMs, by answer: %s",
		len(worst), team, rateWindow, allowed, worst[0].at.Format(clockFormat), worst[len(worst)-1].at.Format(clockFormat), worst.repeated(), worst.vms(),
		worst.answers())
}

// worstWindow returns the first of the windows with the most arrivals.
func worstWindow(arrivals []arrival) window {
	sorted := slices.SortedFunc(slices.Values(arrivals), func(a, b arrival) int { return a.at.Compare(b.at) })
	var worst window
	from := 0
	for to := range sorted {
		for sorted[to].at.Sub(sorted[from].at) > rateWindow {
			from++
		}
		if to-from+1 > len(worst) {
			worst = sorted[from : to+1]
		}
	}
	return worst
}

// repeated returns how many of the arrivals are of an operation that arrived in the window before.
func (w window) repeated() int {
	operations := map[string]bool{}
	for _, a := range w {
		operations[a.operation] = true
	}
	return len(w) - len(operations)
}

// vms returns the number of VMs that the operations were sent to.
func (w window) vms() int {
	names := map[model.VMID]bool{}
	for _, a := range w {
		names[a.vm] = true
	}
	return len(names)
}

// answers counts the arrivals by statement, instance and answer, the most frequent first.
func (w window) answers() string {
	counts := map[string]int{}
	for _, a := range w {
		counts[fmt.Sprintf("%s at %s: %s", a.verb, a.instance, cmp.Or(a.answer, "under way"))]++
	}
	keys := slices.SortedFunc(maps.Keys(counts), func(a, b string) int { return cmp.Or(counts[b]-counts[a], cmp.Compare(a, b)) })
	var parts []string
	for _, key := range keys {
		parts = append(parts, fmt.Sprintf("%d %s", counts[key], key))
	}
	return strings.Join(parts, ", ")
}
