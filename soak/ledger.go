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
	// maxBreaches bounds the breaches that are kept.
	maxBreaches = 50
	// recentItems is how many items of a group are read by all callers.
	recentItems = 30
)

type (
	// outcome is what a caller was told of an operation that writes.
	outcome string

	// asked is a statement as a caller sent it.
	asked struct {
		team      model.TeamName
		operation string
		text      string
		values    map[string]string
	}

	// version is a value that a caller wrote to an item.
	version struct {
		id      model.RequestID
		value   string
		outcome outcome
		at      time.Time
	}

	// ledger holds what callers sent and were told, and what instances saw; it is safe for concurrent use.
	ledger struct {
		mu    sync.Mutex
		sent  map[model.RequestID]asked
		items map[string][]version
		// recent are the items of each group that were opened last.
		recent   map[model.GroupName][]string
		arrivals map[model.TeamName][]time.Time
		breaches []string
		told     map[outcome]int
		// confirmed are the statements of which callers were told that they committed.
		confirmed map[model.RequestID]bool
	}
)

const (
	outcomeOpen    outcome = "Open"
	outcomeAcked   outcome = "Acknowledged"
	outcomeRefused outcome = "Refused"
)

func newLedger() *ledger {
	return &ledger{
		sent: map[model.RequestID]asked{}, items: map[string][]version{}, recent: map[model.GroupName][]string{},
		arrivals: map[model.TeamName][]time.Time{}, told: map[outcome]int{}, confirmed: map[model.RequestID]bool{},
	}
}

func (l *ledger) breach(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.note(format, args...)
}

// note is breach under the lock.
func (l *ledger) note(format string, args ...any) {
	if len(l.breaches) < maxBreaches {
		l.breaches = append(l.breaches, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

// ask records a statement that is about to be sent.
func (l *ledger) ask(id model.RequestID, a asked) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.values = maps.Clone(a.values)
	l.sent[id] = a
}

// open records that a caller is about to write to an item of a group.
func (l *ledger) open(group model.GroupName, item string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recent[group] = append(l.recent[group], item)
	if n := len(l.recent[group]); n > recentItems {
		l.recent[group] = l.recent[group][n-recentItems:]
	}
}

// anyItem returns one of the items of a group that were opened last.
func (l *ledger) anyItem(group model.GroupName, random *rand.Rand) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.recent[group][random.IntN(len(l.recent[group]))]
}

// write records a value that is about to be written.
func (l *ledger) write(item string, id model.RequestID, value string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.items[item] = append(l.items[item], version{id: id, value: value, outcome: outcomeOpen})
}

// settle records what the caller was told of the last value of an item, in the answer to a statement.
func (l *ledger) settle(item string, id model.RequestID, o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.items[item]
	all[len(all)-1].outcome, all[len(all)-1].at = o, time.Now()
	l.told[o]++
	if o == outcomeAcked {
		l.confirmed[id] = true
	}
}

// acknowledged returns how many values of an item were written up to the last one acknowledged before an instant.
func (l *ledger) acknowledged(item string, before time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for at := len(l.items[item]) - 1; at >= 0; at-- {
		if v := l.items[item][at]; v.outcome == outcomeAcked && v.at.Before(before) {
			return at + 1
		}
	}
	return 0
}

// read checks a value that was read of an item, of which at least the first values had to be seen.
func (l *ledger) read(item, value string, least int, by string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if value == "" {
		if least > 0 {
			l.note("stale: %s read nothing of %s, which had %d acknowledged values", by, item, least)
		}
		return
	}
	for at, v := range l.items[item] {
		if v.value != value {
			continue
		}
		if v.outcome == outcomeRefused {
			l.note("kept: %s read %s of %s, which was refused or rolled back", by, value, item)
		}
		if at+1 < least {
			l.note("stale: %s read value %d of %s, at least %d were acknowledged", by, at+1, item, least)
		}
		return
	}
	l.note("mixed: %s read %q of %s, which nobody wrote", by, value, item)
}

// arrive checks a statement of a caller at an instance.
func (l *ledger) arrive(team model.TeamName, q model.Query, values map[string]string) (asked, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, known := l.sent[q.ID]
	switch {
	case !known:
		l.note("unasked: %s %s was sent by nobody", q.ID, q.Text)
	case a.team != team:
		l.note("unasked: %s of %s ran for %s", q.ID, a.team, team)
	case !sameText(a.text, q.Text):
		l.note("unasked: %s was %q and ran as %q", q.ID, a.text, q.Text)
	case !maps.Equal(a.values, values):
		l.note("pinned: %s ran with the session values %v instead of %v", q.ID, values, a.values)
	}
	return a, known
}

// sameText tells whether a statement is unchanged but for the name of a prepared one.
func sameText(sent, ran string) bool {
	if sent == ran {
		return true
	}
	a, b := strings.SplitN(sent, " ", 3), strings.SplitN(ran, " ", 3)
	return len(a) == 3 && len(b) == 3 && a[0] == "EXEC" && b[0] == "EXEC" && a[2] == b[2]
}

// operation counts an operation of a team that reached an instance.
func (l *ledger) operation(team model.TeamName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[team] = append(l.arrivals[team], time.Now())
}
