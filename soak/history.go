package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

const (
	// maxViolations bounds the violations of one check that are kept.
	maxViolations = 50
	// recentItems is the number of the newest items of a group from which all callers choose what they read.
	recentItems = 30
)

type (
	// outcome is the outcome of an operation that writes, according to the answer to its caller.
	outcome string

	// sentStatement is a statement as a caller sent it.
	sentStatement struct {
		team model.TeamName
		// vm is the VM that it was sent to.
		vm        model.VMID
		operation string
		text      string
		values    map[string]string
		// prepared is the kind and the shape of the statement that EXEC runs, as its caller prepared it; it is empty for other statements.
		prepared string
		// work is the time that an instance takes beyond the usual.
		work    time.Duration
		passage passage
	}

	// writtenValue is a value that a caller wrote to an item; at is when the outcome was recorded.
	writtenValue struct {
		id      model.RequestID
		value   string
		outcome outcome
		at      time.Time
	}

	// history records what callers sent and were answered, when operations reached the instances, and the violations found. It is safe
	// for concurrent use.
	history struct {
		mu   sync.Mutex
		sent map[model.RequestID]sentStatement
		// items holds the values of each item in the order of their writing.
		items map[string][]writtenValue
		// recent holds the newest items of each group.
		recent map[model.GroupName][]string
		// groups holds the group of each item, and acked the acknowledged writes of each group.
		groups map[string]model.GroupName
		acked  map[model.GroupName][]ackedWrite
		// arrivals holds when the operations of each team reached an instance.
		arrivals map[model.TeamName][]arrival
		// rate describes the worst window of the team whose rate was checked last.
		rate       string
		violations []string
		// kinds counts the violations by the names of their checks, also those beyond maxViolations.
		kinds map[string]int
		// outcomes counts the writes by their outcomes.
		outcomes map[outcome]int
		// rejected counts the statements that were answered as no statement of the protocol, outside failed transactions.
		rejected int
		// told holds what the callers were told of the statements that commit.
		told map[model.RequestID]outcome
		// uses holds when the last statement of a caller arrived at each instance; onUse, if set, is called for each.
		uses  map[model.InstanceName]time.Time
		onUse func(use)
		// unanswered holds the statements whose connection ended without a complete answer.
		unanswered []unanswered
	}
)

const (
	outcomeUnknown outcome = "Open"
	outcomeAcked   outcome = "Acknowledged"
	outcomeRefused outcome = "Refused"
)

func newHistory() *history {
	return &history{
		sent: map[model.RequestID]sentStatement{}, items: map[string][]writtenValue{}, recent: map[model.GroupName][]string{},
		arrivals: map[model.TeamName][]arrival{}, kinds: map[string]int{}, outcomes: map[outcome]int{}, told: map[model.RequestID]outcome{},
		groups: map[string]model.GroupName{}, acked: map[model.GroupName][]ackedWrite{}, uses: map[model.InstanceName]time.Time{},
	}
}

// addViolation records a violation, which begins with the name of the check.
func (h *history) addViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addViolationLocked(format, args...)
}

// addViolationLocked is addViolation for callers that hold the lock.
func (h *history) addViolationLocked(format string, args ...any) {
	kind, _, _ := strings.Cut(format, ":")
	h.kinds[kind]++
	if h.kinds[kind] <= maxViolations {
		h.violations = append(h.violations, time.Now().Format(clockFormat+" ")+fmt.Sprintf(format, args...))
	}
}

// countRejected counts a statement that was answered as no statement of the protocol.
func (h *history) countRejected() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rejected++
}

// recordSent records a statement that is about to be sent.
func (h *history) recordSent(id model.RequestID, a sentStatement) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.values = maps.Clone(a.values)
	h.sent[id] = a
}

// workTime returns the time that an instance takes for a statement beyond the usual.
func (h *history) workTime(id model.RequestID) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sent[id].work
}

// recordItem records that a caller is about to write to an item of a group.
func (h *history) recordItem(group model.GroupName, item string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.groups[item] = group
	h.recent[group] = append(h.recent[group], item)
	if n := len(h.recent[group]); n > recentItems {
		h.recent[group] = h.recent[group][n-recentItems:]
	}
}

// anyItem returns one of the newest items of a group.
func (h *history) anyItem(group model.GroupName, random *rand.Rand) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.recent[group][random.IntN(len(h.recent[group]))]
}

// recordWrite records a value that is about to be written; its outcome is unknown so far.
func (h *history) recordWrite(item string, id model.RequestID, value string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.items[item] = append(h.items[item], writtenValue{id: id, value: value, outcome: outcomeUnknown})
}

// recordOutcome records the outcome of the last value of an item, and for which statement; that is the commit if it was acknowledged.
func (h *history) recordOutcome(item string, id model.RequestID, o outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := h.items[item]
	all[len(all)-1].outcome, all[len(all)-1].at = o, time.Now()
	h.outcomes[o]++
	h.told[id] = o
	if o == outcomeAcked {
		group := h.groups[item]
		h.acked[group] = append(h.acked[group], ackedWrite{h.sent[id].passage.sentAt, all[len(all)-1].at})
	}
}

// lastAckedNumber returns the number, counted from 1, of the last value of an item that was acknowledged before an instant; 0 if none was.
func (h *history) lastAckedNumber(item string, before time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.items[item]) - 1; i >= 0; i-- {
		if v := h.items[item][i]; v.outcome == outcomeAcked && v.at.Before(before) {
			return i + 1
		}
	}
	return 0
}

// checkRead checks a value that was read from an item: it must have been written to the item by a write that was not refused, and must
// not be older than the item's value number minValues, counted from 1. An empty value is correct only if minValues is 0.
func (h *history) checkRead(item, value string, minValues int, by string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if value == "" {
		if minValues > 0 {
			h.addViolationLocked("stale: %s read nothing of %q, which had %d acknowledged values", by, item, minValues)
		}
		return
	}
	for i, v := range h.items[item] {
		if v.value != value {
			continue
		}
		if v.outcome == outcomeRefused {
			h.addViolationLocked("kept: %s read %q of %q, which was refused or rolled back", by, value, item)
		}
		if i+1 < minValues {
			h.addViolationLocked("stale: %s read value %d of %q, at least %d were acknowledged", by, i+1, item, minValues)
		}
		return
	}
	h.addViolationLocked("mixed: %s read %q of %q, which nobody wrote", by, value, item)
}

// checkArrival checks a statement that reached an instance against what its caller sent. It returns false if no caller sent it.
func (h *history) checkArrival(team model.TeamName, q model.Query, values map[string]string) (sentStatement, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a, known := h.sent[q.ID]
	switch {
	case !known:
		h.addViolationLocked("unasked: %s %q was sent by nobody", q.ID, q.Text)
	case a.team != team:
		h.addViolationLocked("unasked: %s of %s ran for %s", q.ID, a.team, team)
	case !sameText(a.text, q.Text):
		h.addViolationLocked("unasked: %s was %q and ran as %q", q.ID, a.text, q.Text)
	case !maps.Equal(a.values, values):
		h.addViolationLocked("pinned: %s ran with the session values %q instead of %q", q.ID, values, a.values)
	}
	return a, known
}

// sameText reports whether two statements are equal byte for byte, apart from the name of a prepared statement.
func sameText(sent, ran string) bool {
	if sent == ran {
		return true
	}
	a, b := strings.SplitN(sent, " ", 3), strings.SplitN(ran, " ", 3)
	return len(a) == 3 && len(b) == 3 && a[0] == "EXEC" && b[0] == "EXEC" && a[2] == b[2]
}
