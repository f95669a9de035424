package memory

import (
	"container/list"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// Visit is an open connection that counts toward the limits of a gate; a nil Visit has no limit.
type Visit struct {
	gate  *Gate
	evict func()
	// since is when the connection came, or when it was last used.
	since time.Time
	// place is the element in the list among; it is nil once the connection has left.
	place *list.Element
	among *list.List
	// idle is set while the connection is unused.
	idle bool
	team model.TeamName
}

func visitOf(e *list.Element) *Visit {
	v, _ := e.Value.(*Visit) // The lists hold nothing else.
	return v
}

// evictUnlessNew closes the connection and reports whether it did; one that has been silent for less than ProveTime stays.
func (v *Visit) evictUnlessNew(now time.Time) bool {
	if now.Sub(v.since) < ProveTime {
		return false
	}
	v.gate.counts.Add(KindUnproven)
	v.leave()
	v.evict()
	return true
}

// Admit marks the connection as one of a team, which has said something valid. It reports false if the team has too many connections.
func (v *Visit) Admit(team model.TeamName) bool {
	if v == nil {
		return true
	}
	v.gate.mu.Lock()
	defer v.gate.mu.Unlock()
	if v.gate.teams[team] >= v.gate.limits.Team {
		v.gate.counts.Add(KindTeam)
		return false
	}
	v.markActive()
	if v.place != nil {
		v.team = team
		v.gate.teams[team]++
	}
	return true
}

// MarkActive marks the connection as one that has said something valid and is in use.
func (v *Visit) MarkActive() {
	if v == nil {
		return
	}
	v.gate.mu.Lock()
	defer v.gate.mu.Unlock()
	v.markActive()
}

func (v *Visit) markActive() {
	if v.place == nil {
		return
	}
	if v.among == v.gate.unproven {
		v.among.Remove(v.place)
		v.join(v.gate.proven)
	}
	v.setIdle(false)
}

func (v *Visit) setIdle(idle bool) {
	if v.idle == idle {
		return
	}
	v.idle = idle
	if idle {
		v.gate.idle++
	} else {
		v.gate.idle--
	}
}

// MarkIdle marks the connection as one that is unused for now; it gives way to others if there are too many.
func (v *Visit) MarkIdle(now time.Time) {
	if v == nil {
		return
	}
	v.gate.mu.Lock()
	defer v.gate.mu.Unlock()
	if v.place == nil {
		return
	}
	v.markActive()
	v.since = now
	v.among.MoveToBack(v.place)
	v.setIdle(true)
}

// Leave ends the visit; it may be called more than once.
func (v *Visit) Leave() {
	if v == nil {
		return
	}
	v.gate.mu.Lock()
	defer v.gate.mu.Unlock()
	v.leave()
}

func (v *Visit) join(among *list.List) { v.among, v.place = among, among.PushBack(v) }

func (v *Visit) leave() {
	if v.place == nil {
		return
	}
	v.setIdle(false)
	v.among.Remove(v.place)
	v.place = nil
	if v.team == "" {
		return
	}
	v.gate.teams[v.team]--
	if v.gate.teams[v.team] == 0 {
		delete(v.gate.teams, v.team)
	}
}
