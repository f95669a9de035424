package queue

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/tree"
	"github.com/crocusshore/crocusshore/wait"
)

// Entry is one waiting request.
type Entry[T any] struct {
	Team   model.TeamName
	Class  tree.Class
	Weight float64
	// Deadline is when the caller's time for the wait and for Capacity.Work ends.
	Deadline time.Time
	// MaxTeamWaiting bounds the requests of the team that wait at once in the class, if it is not 0.
	MaxTeamWaiting int
	Value          T
}

// Capacity is how fast the requests of a queue are served.
type Capacity struct {
	// Service is how long a request usually occupies a slot; it is 0 if unknown.
	Service time.Duration
	// Work is the time that a request needs between its start and its deadline; it is 0 if the deadlines are those of the start.
	Work time.Duration
	// Slots is the number of requests that may run at once, and Free how many more may run now.
	Slots, Free int
}

// Refused is an entry that was removed since it cannot be served in time.
type Refused[T any] struct {
	Entry Entry[T]
	// RetryAfter is the time after which its caller would be served.
	RetryAfter time.Duration
}

// LatestStart returns the last instant at which the request can start in time.
func (e Entry[T]) LatestStart(capacity Capacity) time.Time { return e.left(capacity).LatestStart() }

// left returns what the request has left.
func (e Entry[T]) left(capacity Capacity) wait.Request {
	return wait.Request{Deadline: e.Deadline, Work: capacity.Work}
}

// waitFor returns how long a request waits whose turn comes after that many others.
func (c Capacity) waitFor(turn float64) time.Duration {
	departures := max(0, turn+1-float64(c.Free))
	return time.Duration(departures * float64(c.Service) / float64(max(1, c.Slots)))
}
