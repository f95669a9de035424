package home

import (
	"context"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/pool"
	"github.com/crocusshore/crocusshore/queue"
	"github.com/crocusshore/crocusshore/tree"
)

// connectionShare is the part of an instance's connections that one home uses, so that two VMs
// which both take themselves for the home stay within the limit together.
const connectionShare = 0.48

// minLatenciesLeft is how many mean latencies must be left before the deadline for a request to be started.
const minLatenciesLeft = 2

// queuedRequest is a place in the queue of an instance.
type queuedRequest struct {
	start    chan struct{}
	deadline time.Time
	// started and gone are guarded by the worker's lock.
	started   bool
	abandoned bool
}

// scheduler schedules the requests for one instance.
type scheduler struct {
	upstream model.Upstream
	pool     *pool.Pool
	tracker  *Tracker

	mu          sync.Mutex
	queue       *queue.Queue[*queuedRequest]
	concurrency *queue.ConcurrencyLimit
	running     int
	applied     model.Mark
}

func newWorker(upstream model.Upstream, instance tree.Instance) *scheduler {
	return &scheduler{
		upstream:    upstream,
		pool:        pool.New(pool.Config{Upstream: upstream, MaxConns: connectionsOf(instance)}),
		tracker:     NewTracker(upstream),
		queue:       queue.New[*queuedRequest](),
		concurrency: queue.NewConcurrencyLimit(instance.Slots),
	}
}

func connectionsOf(instance tree.Instance) int {
	return max(1, int(float64(instance.Connections)*connectionShare))
}

// acquire waits for a slot; the refusal is true because nothing was sent yet.
func (w *scheduler) acquire(ctx context.Context, now time.Time, r *Request) error {
	t := &queuedRequest{start: make(chan struct{}), deadline: r.Deadline}
	w.mu.Lock()
	if wait := w.queue.EstimateWait(r.Team, r.Settings.Class, w.concurrency.MeanLatency(), w.concurrency.Limit()); now.Add(wait).After(r.Deadline) {
		w.mu.Unlock()
		return model.Refuse(model.ReasonOverload, "the requests of the team that wait already take longer than the deadline").WithRetryAfter(wait)
	}
	err := w.queue.Push(now, queue.Entry[*queuedRequest]{
		Team:           r.Team,
		Class:          r.Settings.Class,
		Weight:         r.Settings.Weight,
		Deadline:       r.Deadline,
		MaxTeamWaiting: r.Settings.QueueLimit,
		Value:          t,
	})
	w.dispatch(now)
	w.mu.Unlock()
	if err != nil {
		return err
	}
	select {
	case <-t.start:
		return nil
	case <-ctx.Done():
		return w.abandon(t)
	}
}

// abandon leaves the queue, unless the slot was given at the same moment.
func (w *scheduler) abandon(t *queuedRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.started {
		return nil
	}
	t.abandoned = true
	w.queue.Expire(time.Now())
	return model.Refuse(model.ReasonOverload, "no slot of the instance came free before the deadline").WithRetryAfter(overloadRetryAfter)
}

// dispatch starts waiting requests while slots are free; the caller holds the lock.
func (w *scheduler) dispatch(now time.Time) {
	for w.running < w.concurrency.Limit() {
		entry, ok := w.queue.Pop()
		if !ok {
			return
		}
		// What cannot be done in time would only take the slot from others; its caller is refused at the deadline.
		if entry.Value.abandoned || now.Add(minLatenciesLeft*w.concurrency.MeanLatency()).After(entry.Value.deadline) {
			continue
		}
		entry.Value.started = true
		close(entry.Value.start)
		w.running++
	}
}

// release gives the slot back; latency is zero where nothing ran.
func (w *scheduler) release(now time.Time, latency time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
	if latency > 0 {
		w.concurrency.Observe(latency)
	}
	w.dispatch(now)
}

// observeApplied records how far the instance has applied its log.
func (w *scheduler) observeApplied(mark model.Mark) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.applied.Before(mark) {
		w.applied = mark
	}
}

func (w *scheduler) appliedMark() model.Mark {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.applied
}
