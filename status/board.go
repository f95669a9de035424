package status

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/crocusshore/crocusshore/conns"
	"github.com/crocusshore/crocusshore/model"
)

// errUnderWay reports that a request that was awaited did not end in time, which is no evidence against the instance.
var errUnderWay = errors.Mark(errors.New("a status request that was under way did not end in time"), conns.ErrBusy)

// Board keeps the newest answer of each instance; it is safe for concurrent use. A nil Board shares nothing.
type Board struct {
	metrics tally.Scope

	mu        sync.Mutex
	instances map[model.InstanceName]*record
}

// NewBoard returns a board without answers.
func NewBoard(metrics tally.Scope) *Board {
	return &Board{metrics: metrics, instances: map[model.InstanceName]*record{}}
}

// Ask returns the state of an instance as of an instant at most maxAge before now. It calls ask unless an answer that is recent enough is known or under
// way; it waits for one that is under way until the deadline. With a maxAge of 0, ask is always called.
func (b *Board) Ask(now time.Time, instance model.Instance, maxAge time.Duration, deadline time.Time, ask func() Answer) Answer {
	if b == nil {
		return ask()
	}
	answer, awaited, own := b.find(now, instance, maxAge)
	switch {
	case own != nil:
		return b.run(instance, own, ask)
	case awaited != nil:
		return await(awaited, deadline.Sub(now))
	default:
		return answer
	}
}

// RecordStatement records what the answer of an instance to a statement shows: that it was the primary of a term and had a log position when the statement
// was sent. The lease on the primary must have been valid then.
func (b *Board) RecordStatement(now, sentAt time.Time, instance model.Instance, term model.Term, mark model.Mark) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	state := model.InstanceState{Role: model.RolePrimary, Term: term, Held: term, Received: mark}
	b.record(instance).update(Answer{State: state, At: sentAt, EndedAt: now}, true)
}

// find returns a known answer that may be shared, or else the request to wait for, or else a new request that the caller has to run.
func (b *Board) find(now time.Time, instance model.Instance, maxAge time.Duration) (answer Answer, awaited, own *question) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(instance)
	switch {
	case r.serves(now, maxAge):
		b.count(r.keptSource())
		return r.answer, nil, nil
	case r.joins(now, maxAge):
		b.count(sourceJoined)
		return Answer{}, r.asking, nil
	default:
		b.count(sourceAsked)
		r.asking = &question{beganAt: now, done: make(chan struct{})}
		return Answer{}, nil, r.asking
	}
}

// run runs a new request and publishes its answer. One that may be an earlier answer of its connection is not kept, since another request can do better.
func (b *Board) run(instance model.Instance, q *question, ask func() Answer) Answer {
	q.answer = ask()
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(instance)
	if r.asking == q {
		r.asking = nil
	}
	if !errors.Is(q.answer.Err, model.ErrUnmatched) {
		r.update(q.answer, false)
	}
	close(q.done)
	return q.answer
}

// record returns the record of an instance, which is empty if another instance or another start had its name; the caller holds the lock.
func (b *Board) record(instance model.Instance) *record {
	r := b.instances[instance.Name]
	if r == nil || !r.matches(instance) {
		r = &record{address: instance.Address, startedAt: instance.StartedAt}
		b.instances[instance.Name] = r
	}
	return r
}

func (b *Board) count(from source) {
	b.metrics.Tagged(map[string]string{"source": string(from)}).Counter("status_answers").Inc(1)
}

// await returns the answer of a request that is under way, or errUnderWay after a wait.
func await(q *question, wait time.Duration) Answer {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-q.done:
		return q.answer
	case <-timer.C:
		return Answer{Err: errUnderWay}
	}
}
