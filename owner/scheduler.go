package owner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/pool"
	"github.com/crocusshore/crocusshore/queue"
	"github.com/crocusshore/crocusshore/tree"
	"github.com/crocusshore/crocusshore/wait"
)

// connectionShare is the fraction of an instance's connection limit that one VM uses, so that two VMs
// that both consider themselves the owner of the instance stay within the limit together.
const connectionShare = 0.48

// queuedRequest is a request in the queue of an instance.
type queuedRequest struct {
	deadline time.Time
	// decided receives nil when the request gets a slot, or its refusal; it holds one decision, so that the scheduler never blocks.
	decided chan error
	// started and abandoned (the caller no longer waits) are guarded by scheduler.mu.
	started   bool
	abandoned bool
}

// scheduler schedules the requests for one instance: it queues them and limits how many run at once.
type scheduler struct {
	upstream model.Upstream
	pool     *pool.Pool
	tracker  *Tracker

	mu          sync.Mutex
	queue       *queue.Queue[*queuedRequest]
	concurrency *queue.ConcurrencyLimit
	running     int
	// applied is the highest log position that the instance is known to have applied.
	applied model.Mark
}

func newScheduler(upstream model.Upstream, instance tree.Instance) *scheduler {
	return &scheduler{
		upstream:    upstream,
		pool:        pool.New(pool.Config{Upstream: upstream, MaxConns: connectionsOf(instance)}),
		tracker:     NewTracker(upstream),
		queue:       queue.New[*queuedRequest](),
		concurrency: queue.NewConcurrencyLimit(instance.Slots),
	}
}

// connectionsOf returns the number of connections that this VM may open to an instance.
func connectionsOf(instance tree.Instance) int {
	return max(1, int(float64(instance.Connections)*connectionShare))
}

// acquire waits for a slot. Its refusals may state that the request did not run, because nothing has been sent yet.
func (s *scheduler) acquire(ctx context.Context, now time.Time, r *Request) error {
	q := &queuedRequest{deadline: r.Deadline, decided: make(chan error, 1)}
	s.mu.Lock()
	if estimate := s.queue.EstimateWait(r.Team, r.Settings.Class, s.concurrency.MeanLatency(), s.concurrency.Limit()); now.Add(estimate).After(r.Deadline) {
		s.mu.Unlock()
		return model.Refuse(model.ReasonOverload, "the requests of the team that wait already take longer than the deadline").WithRetryAfter(estimate)
	}
	err := s.queue.Push(now, queue.Entry[*queuedRequest]{
		Team:           r.Team,
		Class:          r.Settings.Class,
		Weight:         r.Settings.Weight,
		Deadline:       r.Deadline,
		MaxTeamWaiting: r.Settings.QueueLimit,
		Value:          q,
	})
	s.dispatch(now)
	s.mu.Unlock()
	if err != nil {
		return err
	}
	select {
	case err := <-q.decided:
		return err
	case <-ctx.Done():
		return s.abandon(q)
	}
}

// abandon gives up the wait for a slot. If the slot was granted at the same moment, it returns nil and the request keeps the slot.
func (s *scheduler) abandon(q *queuedRequest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.started {
		return nil
	}
	q.abandoned = true
	s.queue.Expire(time.Now())
	return model.Refuse(model.ReasonOverload, "no slot of the instance came free before the deadline").WithRetryAfter(overloadRetryAfter)
}

// dispatch starts waiting requests while slots are free, and refuses those that cannot finish in time any more. The caller holds s.mu.
func (s *scheduler) dispatch(now time.Time) {
	for s.running < s.concurrency.Limit() {
		entry, ok := s.queue.Pop()
		if !ok {
			return
		}
		q := entry.Value
		if q.abandoned {
			continue
		}
		mean := s.concurrency.MeanLatency()
		decision := wait.Decide(now, now, wait.Request{Deadline: q.deadline, Work: mean})
		if !decision.Wait {
			// The request would only take the slot from others, so its caller is told at once.
			q.decided <- overload("the time that is left is too short for the request").WithRetryAfter(wait.Spread(mean, rand.Float64()))
			continue
		}
		q.started = true
		q.decided <- nil
		s.running++
	}
}

func overload(detail string) *model.Refusal { return model.Refuse(model.ReasonOverload, "%s", detail) }

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
