package owner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/pool"
	"github.com/crocusshore/crocusshore/queue"
	"github.com/crocusshore/crocusshore/tree"
	"github.com/crocusshore/crocusshore/wait"
)

// connectionShare is the fraction of an instance's connection limit that one VM uses, so that two VMs
// that both consider themselves the owner of the instance stay within the limit together.
const connectionShare = 0.48

// minDecisionInterval is the shortest time between two decisions that a waiting request asks for.
const minDecisionInterval = time.Millisecond

// queuedRequest is a request in the queue of an instance.
type queuedRequest struct {
	// decided receives nil when the request gets a slot, or its refusal; it holds one decision, so that the scheduler never blocks.
	decided chan error
}

// scheduler schedules the requests for one instance: it queues them and limits how many run at once.
type scheduler struct {
	upstream model.Upstream
	pool     *pool.Pool
	tracker  *Tracker
	now      func() time.Time

	mu          sync.Mutex
	queue       *queue.Queue[*queuedRequest]
	concurrency *queue.ConcurrencyLimit
	running     int
	// applied is the highest log position that the instance is known to have applied.
	applied model.Mark
}

func newScheduler(upstream model.Upstream, instance tree.Instance, now func() time.Time) *scheduler {
	return &scheduler{
		upstream:    upstream,
		pool:        pool.New(pool.Config{Upstream: upstream, MaxConns: connectionsOf(instance)}),
		tracker:     NewTracker(upstream),
		now:         now,
		queue:       queue.New[*queuedRequest](),
		concurrency: queue.NewConcurrencyLimit(instance.Slots),
	}
}

// connectionsOf returns the number of connections that this VM may open to an instance.
func connectionsOf(instance tree.Instance) int {
	return max(1, int(float64(instance.Connections)*connectionShare))
}

// acquire waits for a slot. Its refusals may state that the request did not run, because nothing has been sent yet.
func (s *scheduler) acquire(ctx context.Context, r *Request) error {
	q := &queuedRequest{decided: make(chan error, 1)}
	entry := queue.Entry[*queuedRequest]{
		Team:           r.Team,
		Class:          r.Settings.Class,
		Weight:         r.Settings.Weight,
		Deadline:       r.Deadline,
		MaxTeamWaiting: r.Settings.QueueLimit,
		Value:          q,
	}
	s.mu.Lock()
	now := s.now()
	if s.queue.Len() == 0 && s.capacity().Free > 0 && now.Before(r.Deadline) {
		// Nobody else wants the slot, and how long the request takes tells how fast the instance is now.
		s.running++
		s.mu.Unlock()
		return nil
	}
	err := s.queue.Push(now, s.capacity(), entry)
	s.dispatch(now)
	latestStart := entry.LatestStart(s.capacity())
	s.mu.Unlock()
	if err != nil {
		return spreadReturns(err)
	}
	timer := time.NewTimer(latestStart.Sub(now))
	defer timer.Stop()
	for {
		select {
		case err := <-q.decided:
			return err
		case <-ctx.Done():
			return s.abandon(q)
		case <-timer.C:
			timer.Reset(s.redispatch(entry))
		}
	}
}

// redispatch decides again about the waiting requests. It returns after which time to do so for an entry that still waits.
func (s *scheduler) redispatch(entry queue.Entry[*queuedRequest]) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.dispatch(now)
	return max(entry.LatestStart(s.capacity()).Sub(now), minDecisionInterval)
}

// abandon gives up the wait for a slot. If the slot was granted at the same moment, it returns nil and the request keeps the slot.
func (s *scheduler) abandon(q *queuedRequest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case err := <-q.decided:
		return err
	default:
	}
	s.queue.Remove(func(other *queuedRequest) bool { return other == q })
	return spreadReturns(overload("no slot of the instance came free while the caller waited").WithRetryAfter(s.concurrency.MeanLatency()))
}

// capacity returns how fast the instance serves requests. The caller holds s.mu.
func (s *scheduler) capacity() queue.Capacity {
	limit, mean := s.concurrency.Limit(), s.concurrency.MeanLatency()
	return queue.Capacity{Service: mean, Work: mean, Slots: limit, Free: max(0, limit-s.running)}
}

// dispatch starts waiting requests while slots are free, and refuses those that cannot finish in time any more. The caller holds s.mu.
func (s *scheduler) dispatch(now time.Time) {
	for _, refused := range s.queue.Refuse(now, s.capacity()) {
		refusal := overload("the time that is left is too short for the requests that go first and the request itself")
		refused.Entry.Value.decided <- spreadReturns(refusal.WithRetryAfter(refused.RetryAfter))
	}
	for s.running < s.concurrency.Limit() {
		entry, ok := s.queue.Pop()
		if !ok {
			return
		}
		entry.Value.decided <- nil
		s.running++
	}
}

func overload(detail string) *model.Refusal { return model.Refuse(model.ReasonOverload, "%s", detail) }

// spreadReturns keeps the callers of refused requests from returning together.
func spreadReturns(err error) error {
	var refusal *model.Refusal
	if errors.As(err, &refusal) && refusal.Reason == model.ReasonOverload {
		return refusal.WithRetryAfter(wait.Spread(refusal.RetryAfter, rand.Float64()))
	}
	return err
}

// release returns a slot; latency is zero if nothing ran.
func (s *scheduler) release(now time.Time, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if latency > 0 {
		s.concurrency.Observe(latency)
	}
	s.dispatch(now)
}

// observeApplied records that the instance has applied its log up to a mark.
func (s *scheduler) observeApplied(mark model.Mark) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.applied.Before(mark) {
		s.applied = mark
	}
}

// appliedMark returns the highest mark that was recorded by observeApplied.
func (s *scheduler) appliedMark() model.Mark {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applied
}
