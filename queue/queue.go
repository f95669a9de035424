package queue

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/tree"
	"github.com/crocusshore/crocusshore/wait"
)

const (
	// minWeight bounds the weight of an entry from below.
	minWeight = 0.01

	// The shares are the relative shares of the classes while requests of all of them wait; browsing has one too, so it is never starved.
	reservationShare = 64.0
	normalShare      = 8.0
	browsingShare    = 1.0

	// halfTurn is the mean part of another's turn that passes before one's own.
	halfTurn = 0.5
)

// class is the lane of one priority class with its share and virtual time.
type class[T any] struct {
	lane        *lane[T]
	share       float64
	virtualTime float64
}

// Queue holds the waiting requests of one instance; it is not safe for concurrent use.
type Queue[T any] struct {
	classes     map[tree.Class]*class[T]
	virtualTime float64
}

// New returns an empty queue.
func New[T any]() *Queue[T] {
	return &Queue[T]{classes: map[tree.Class]*class[T]{
		tree.ClassReservation: {lane: newLane[T](), share: reservationShare},
		tree.ClassNormal:      {lane: newLane[T](), share: normalShare},
		tree.ClassBrowsing:    {lane: newLane[T](), share: browsingShare},
	}}
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int {
	total := 0
	for _, c := range q.classes {
		total += c.lane.length
	}
	return total
}

// Push adds a request. It returns a *model.Refusal if the request cannot be served by its deadline or the team has too many requests waiting.
func (q *Queue[T]) Push(now time.Time, capacity Capacity, entry Entry[T]) error {
	if !now.Before(entry.Deadline) {
		return model.Refuse(model.ReasonDeadline, "the deadline passed before the request could wait for a slot")
	}
	c := q.class(entry.Class)
	waiting := c.lane.waiting(entry.Team)
	decision := q.decide(now, capacity, c, c.lane.position(entry), entry)
	if entry.MaxTeamWaiting > 0 && waiting >= entry.MaxTeamWaiting {
		return model.Refuse(model.ReasonOverload, "%d requests of the team already wait for this instance", entry.MaxTeamWaiting).WithRetryAfter(decision.RetryAfter)
	}
	if !decision.Wait {
		return model.Refuse(model.ReasonOverload, "the requests that go first take longer than the time that is left").WithRetryAfter(decision.RetryAfter)
	}
	if c.lane.length == 0 {
		c.virtualTime = max(c.virtualTime, q.virtualTime)
	}
	c.lane.push(entry)
	return nil
}

// Refuse removes and returns the requests that cannot be served by their deadlines any more. It has to be called whenever the capacity or
// the queue changes, and at the instant that LatestStart returns.
func (q *Queue[T]) Refuse(now time.Time, capacity Capacity) []Refused[T] {
	var refused []Refused[T]
	for _, c := range q.classes {
		for _, f := range c.lane.flows {
			position := 0
			c.lane.removeIf(f, func(entry Entry[T]) bool {
				decision := q.decide(now, capacity, c, position, entry)
				if decision.Wait {
					position++
					return false
				}
				refused = append(refused, Refused[T]{Entry: entry, RetryAfter: decision.RetryAfter})
				return true
			})
		}
	}
	return refused
}

// decide decides whether a request waits that has a position in the flow of its team.
func (q *Queue[T]) decide(now time.Time, capacity Capacity, own *class[T], position int, entry Entry[T]) wait.Decision {
	expected := now.Add(capacity.waitFor(q.turn(own, position, entry)))
	return wait.Decide(now, wait.At(expected), entry.left(capacity))
}

// turn returns how many waiting requests are served before one that has a position in the flow of its team. Teams of the class take turns by
// their weights, and classes by their shares.
func (q *Queue[T]) turn(own *class[T], position int, entry Entry[T]) float64 {
	ahead := own.lane.ahead(entry, position)
	turn := ahead
	for _, c := range q.classes {
		if c != own {
			turn += min(float64(c.lane.length), (ahead+halfTurn)*c.share/own.share)
		}
	}
	return turn
}

func (q *Queue[T]) class(name tree.Class) *class[T] {
	if c := q.classes[name]; c != nil {
		return c
	}
	return q.classes[tree.ClassNormal]
}

// Remove removes the requests that match, whose callers wait no longer.
func (q *Queue[T]) Remove(match func(T) bool) {
	for _, c := range q.classes {
		for _, f := range c.lane.flows {
			c.lane.removeIf(f, func(entry Entry[T]) bool { return match(entry.Value) })
		}
	}
}

// Pop removes and returns the next request to run.
func (q *Queue[T]) Pop() (Entry[T], bool) {
	next := q.next()
	if next == nil {
		return Entry[T]{}, false
	}
	q.virtualTime = next.virtualTime
	next.virtualTime += 1 / next.share
	return next.lane.pop()
}

func (q *Queue[T]) next() *class[T] {
	var next *class[T]
	for _, name := range []tree.Class{tree.ClassReservation, tree.ClassNormal, tree.ClassBrowsing} {
		c := q.classes[name]
		if c.lane.length == 0 {
			continue
		}
		if next == nil || c.virtualTime < next.virtualTime {
			next = c
		}
	}
	return next
}
