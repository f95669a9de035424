package owner

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/tree"
)

// schedulingTime is how long after the cause of a refusal its caller may learn of it.
const schedulingTime = 10 * time.Millisecond

// acquired is the result of a wait for a slot, and when it ended.
type acquired struct {
	err   error
	endAt time.Time
}

// newTestScheduler returns a scheduler of an instance with one slot, on which requests have taken a mean latency. It runs two requests at once.
func newTestScheduler(mean time.Duration) *scheduler {
	s := newScheduler(nil, tree.Instance{Name: "p", Slots: 1, Connections: 10}, time.Now)
	s.concurrency.Observe(mean)
	return s
}

// acquireLater starts a wait for a slot and returns its result when it ends.
func acquireLater(s *scheduler, r Request) <-chan acquired {
	result := make(chan acquired, 1)
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
		defer cancel()
		err := s.acquire(ctx, &r)
		result <- acquired{err: err, endAt: time.Now()}
	}()
	synctest.Wait()
	return result
}

func testRequest(now time.Time, timeout time.Duration, class tree.Class) Request {
	return Request{Team: "team", Deadline: now.Add(timeout), Settings: tree.Settings{Class: class, Weight: 1, QueueLimit: 100}}
}

// requireRefused requires that a wait ended by an instant with a refusal of a request that has not run, and with a time to return.
func requireRefused(t *testing.T, result acquired, by time.Time) {
	t.Helper()
	var refusal *model.Refusal
	require.ErrorAs(t, result.err, &refusal)
	require.Equal(t, model.NotRun, refusal.Outcome)
	require.Positive(t, refusal.RetryAfter)
	require.False(t, result.endAt.After(by.Add(schedulingTime)), "refused %s too late", result.endAt.Sub(by))
}

// TestRequestThatCannotFinishIsRefusedAtOnce guards against a caller that is kept waiting until its deadline for a refusal that is already certain:
// a request that could not finish in time any more was taken out of the queue, and its caller was told at the deadline.
func TestRequestThatCannotFinishIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const mean, timeout = 300 * time.Millisecond, time.Second
		s := newTestScheduler(mean)
		start := time.Now()
		for range s.concurrency.Limit() {
			require.NoError(t, (<-acquireLater(s, testRequest(start, timeout, tree.ClassNormal))).err)
		}
		waiting := acquireLater(s, testRequest(start, timeout, tree.ClassNormal))
		time.Sleep(450 * time.Millisecond)
		s.release(time.Now(), mean)
		requireRefused(t, <-waiting, start.Add(450*time.Millisecond))
		require.Zero(t, s.queue.Len())
	})
}

// fillSlots starts as many requests as may run at once.
func fillSlots(t *testing.T, s *scheduler, start time.Time) {
	t.Helper()
	for range s.concurrency.Limit() {
		require.NoError(t, (<-acquireLater(s, testRequest(start, time.Hour, tree.ClassNormal))).err)
	}
}

// TestRequestIsRefusedOnceNoSlotCanComeInTime guards against a request that waits for an instance that answers nothing: it was refused at its
// deadline, although it could not have been run in the time before.
func TestRequestIsRefusedOnceNoSlotCanComeInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const mean, timeout = 100 * time.Millisecond, time.Second
		s := newTestScheduler(mean)
		start := time.Now()
		fillSlots(t, s, start)
		waiting := acquireLater(s, testRequest(start, timeout, tree.ClassNormal))
		requireRefused(t, <-waiting, start.Add(timeout-2*mean))
	})
}

// TestRequestWhoseTurnMovesPastItsDeadlineIsRefused guards against a request that waits although its turn cannot come in time any more: the
// estimate was made on arrival only, and counted no requests of other classes.
func TestRequestWhoseTurnMovesPastItsDeadlineIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const mean, timeout, moved = 100 * time.Millisecond, time.Second, 50 * time.Millisecond
		s := newTestScheduler(mean)
		start := time.Now()
		fillSlots(t, s, start)
		browsing := acquireLater(s, testRequest(start, timeout, tree.ClassBrowsing))
		time.Sleep(moved)
		for range 40 { // Two seconds of work that goes first.
			acquireLater(s, testRequest(start, time.Hour, tree.ClassReservation))
		}
		requireRefused(t, <-browsing, start.Add(moved))
		late := acquireLater(s, testRequest(start, timeout, tree.ClassBrowsing))
		requireRefused(t, <-late, start.Add(moved))
		time.Sleep(2 * time.Hour) // The waits of the others end.
	})
}

// TestIdleInstanceIsUsedWhateverItsMeanLatency guards against an instance that gets no request after a spell of slowness: each was refused since the
// mean latency left it no time, so the mean never fell again.
func TestIdleInstanceIsUsedWhateverItsMeanLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slow, timeout = time.Second, 800 * time.Millisecond
		s := newTestScheduler(slow)
		require.NoError(t, (<-acquireLater(s, testRequest(time.Now(), timeout, tree.ClassNormal))).err)
	})
}

// TestRequestWithLessTimeLeftGoesFirst guards against a request that is refused although one that came before it, of the same team and class, has
// time to spare.
func TestRequestWithLessTimeLeftGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const mean = 100 * time.Millisecond
		s := newTestScheduler(mean)
		start := time.Now()
		fillSlots(t, s, start)
		var patient []<-chan acquired
		for range 6 {
			patient = append(patient, acquireLater(s, testRequest(start, 10*time.Second, tree.ClassNormal)))
		}
		urgent := acquireLater(s, testRequest(start, 4*mean, tree.ClassNormal))
		time.Sleep(mean)
		s.release(time.Now(), mean)
		require.NoError(t, (<-urgent).err)
		for _, p := range patient {
			time.Sleep(mean)
			s.release(time.Now(), mean)
			require.NoError(t, (<-p).err)
		}
	})
}

func meanLatency(s *scheduler) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.concurrency.MeanLatency()
}

// TestNoRefusalIsHeld plays random loads and requires that each request starts in time for its work or is refused no later than that.
func TestNoRefusalIsHeld(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 36))
			s := newScheduler(nil, tree.Instance{Name: "p", Slots: 2, Connections: 10}, time.Now)
			var callers sync.WaitGroup
			started, refused := 0, 0
			var mu sync.Mutex
			var before time.Duration // The mean latency before the last release.
			for range 400 {
				time.Sleep(time.Duration(random.ExpFloat64() * float64(4*time.Millisecond)))
				timeout := time.Duration(20+random.IntN(400)) * time.Millisecond
				work := time.Duration(5+random.IntN(30)) * time.Millisecond
				r := testRequest(time.Now(), timeout, []tree.Class{tree.ClassReservation, tree.ClassNormal, tree.ClassBrowsing}[random.IntN(3)])
				r.Team = model.TeamName(rune('A' + random.IntN(3)))
				arrivedAt := time.Now()
				callers.Go(func() {
					err := s.acquire(t.Context(), &r)
					mu.Lock()
					defer mu.Unlock()
					latest := r.Deadline.Add(-2 * min(before, meanLatency(s)))
					if err == nil {
						started++
						require.False(t, time.Now().After(r.Deadline))
						callers.Go(func() {
							time.Sleep(work)
							mu.Lock()
							before = meanLatency(s)
							mu.Unlock()
							s.release(time.Now(), work)
						})
						return
					}
					refused++
					inTime := !time.Now().After(latest.Add(schedulingTime))
					require.True(t, inTime || time.Since(arrivedAt) <= schedulingTime, "held %s, %s too long", time.Since(arrivedAt), time.Since(latest))
				})
			}
			callers.Wait()
			require.Positive(t, started)
			require.Positive(t, refused)
			require.Zero(t, s.queue.Len())
		})
	}
}
