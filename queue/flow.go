package queue

import (
	"container/list"

	"github.com/crocusshore/crocusshore/model"
)

// flow holds the waiting requests of one team in one class, those with the least time left first. start is the virtual start time of its next entry, and finish the virtual
// finish time of the last entry that was taken.
type flow[T any] struct {
	entries *list.List
	start   float64
	finish  float64
	weight  float64
}

func newFlow[T any]() *flow[T] {
	return &flow[T]{entries: list.New(), weight: 1}
}

// lane holds the flows of one class and serves them by start-time fair queueing.
type lane[T any] struct {
	flows       map[model.TeamName]*flow[T]
	virtualTime float64
	length      int
}

func newLane[T any]() *lane[T] {
	return &lane[T]{flows: map[model.TeamName]*flow[T]{}}
}

func (l *lane[T]) push(entry Entry[T]) {
	f := l.flows[entry.Team]
	if f == nil {
		f = newFlow[T]()
		l.flows[entry.Team] = f
	}
	f.weight = max(entry.Weight, minWeight)
	if f.entries.Len() == 0 {
		f.start = max(l.virtualTime, f.finish)
	}
	f.insert(entry)
	l.length++
}

// insert adds an entry behind those that have to start no later.
func (f *flow[T]) insert(entry Entry[T]) {
	at := f.entries.Back()
	for at != nil && at.Value.(Entry[T]).Deadline.After(entry.Deadline) {
		at = at.Prev()
	}
	if at == nil {
		f.entries.PushFront(entry)
		return
	}
	f.entries.InsertAfter(entry, at)
}

// position returns how many requests of the team go before an entry that is not in the lane yet.
func (l *lane[T]) position(entry Entry[T]) int {
	f := l.flows[entry.Team]
	if f == nil {
		return 0
	}
	position := f.entries.Len()
	for at := f.entries.Back(); at != nil && at.Value.(Entry[T]).Deadline.After(entry.Deadline); at = at.Prev() {
		position--
	}
	return position
}

func (l *lane[T]) waiting(team model.TeamName) int {
	if f := l.flows[team]; f != nil {
		return f.entries.Len()
	}
	return 0
}

// ahead returns how many requests of the lane are served before one that has a position in the flow of its team.
func (l *lane[T]) ahead(entry Entry[T], position int) float64 {
	team, weight := entry.Team, max(entry.Weight, minWeight)
	otherWeight := 0.0
	for name, f := range l.flows {
		if name != team && f.entries.Len() > 0 {
			otherWeight += f.weight
		}
	}
	others := (float64(position) + halfTurn) * otherWeight / weight
	return float64(position) + min(float64(l.length-l.waiting(team)), others)
}

// pop removes and returns the entry with the lowest virtual start time.
func (l *lane[T]) pop() (Entry[T], bool) {
	var next *flow[T]
	var nextTeam model.TeamName
	for team, f := range l.flows {
		if f.entries.Len() == 0 {
			l.dropIdle(team, f)
			continue
		}
		if next == nil || f.start < next.start || (f.start == next.start && team < nextTeam) {
			next, nextTeam = f, team
		}
	}
	if next == nil {
		return Entry[T]{}, false
	}
	return l.take(next), true
}

func (l *lane[T]) take(f *flow[T]) Entry[T] {
	front := f.entries.Front()
	f.entries.Remove(front)
	l.length--
	l.virtualTime = f.start
	f.finish = f.start + 1/f.weight
	f.start = f.finish
	return front.Value.(Entry[T])
}

// dropIdle drops an idle flow once the virtual time has reached its finish time, so that a team cannot get more than its share by going
// idle.
func (l *lane[T]) dropIdle(team model.TeamName, f *flow[T]) {
	if f.finish <= l.virtualTime {
		delete(l.flows, team)
	}
}

// removeIf removes the entries of a flow for which remove returns true; it is called for each entry in order.
func (l *lane[T]) removeIf(f *flow[T], remove func(Entry[T]) bool) {
	for at := f.entries.Front(); at != nil; {
		next := at.Next()
		if remove(at.Value.(Entry[T])) {
			f.entries.Remove(at)
			l.length--
		}
		at = next
	}
}
