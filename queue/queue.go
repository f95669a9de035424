package queue

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/tree"
)

const (
	// minWeight bounds the weight of an entry from below.
	minWeight = 0.01

	// The shares are the relative shares of the classes while requests of all of them wait; browsing has one too, so it is never starved.
	reservationShare = 64.0
	normalShare      = 8.0
	browsingShare    = 1.0

	// queueFullRetryAfter is the retry time for a caller whose team has too many requests waiting.
	queueFullRetryAfter = 100 * time.Millisecond
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

// Push adds a request. It returns a *model.Refusal if the deadline has passed or the team has too many requests waiting.
func (q *Queue[T]) Push(now time.Time, entry Entry[T]) error {
	c := q.classes[entry.Class]
	if c == nil {
		c = q.classes[tree.ClassNormal]
	}
	if !now.Before(entry.Deadline) {
		return model.Refuse(model.ReasonDeadline, "the deadline passed before the request could wait for a slot")
	}
	if c.lane.waiting(entry.Team) >= entry.MaxTeamWaiting {
		return model.Refuse(model.ReasonOverload, "%d requests of the team already wait for this instance", entry.MaxTeamWaiting).WithRetryAfter(queueFullRetryAfter)
	}
	if c.lane.length == 0 {
		c.virtualTime = max(c.virtualTime, q.virtualTime)
	}
	c.lane.push(entry)
	return nil
}

// EstimateWait estimates how long a new request of a team would wait if each of the slots takes service to run one request.
//
// It counts the waiting requests of the team, and assumes that they take turns with the requests of all other teams that wait.
func (q *Queue[T]) EstimateWait(team model.TeamName, name tree.Class, service time.Duration, slots int) time.Duration {
	c := q.classes[name]
	if c == nil || c.lane.length == 0 {
		return 0
	}
	turns := c.lane.waiting(team) * max(1, c.lane.activeTeams())
	return service * time.Duration(min(turns, c.lane.length)) / time.Duration(max(1, slots))
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

// Expire removes and returns the requests whose deadline has passed.
func (q *Queue[T]) Expire(now time.Time) []Entry[T] {
	var expired []Entry[T]
	for _, c := range q.classes {
		expired = append(expired, c.lane.expire(now)...)
	}
	return expired
}
