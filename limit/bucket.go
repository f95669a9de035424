package limit

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/quota"
	"github.com/crocusshore/crocusshore/tree"
	"github.com/crocusshore/crocusshore/wait"
)

const (
	// maxWait bounds how long a request waits for a token while the holders of all parts answer.
	maxWait = 250 * time.Millisecond
	// maxWaitUnavailable bounds how long a request waits while the holder of a part does not answer.
	maxWaitUnavailable = 4 * time.Second
	// requestInterval bounds the pause between two rounds of requests to the holders that granted too few tokens.
	requestInterval = 20 * time.Millisecond
	// requestTimeout bounds one request to a holder.
	requestTimeout = 250 * time.Millisecond
	// recoveryTime is how long maxWaitUnavailable still applies once unavailableTime has passed. The requests that piled up need it.
	recoveryTime = 3 * time.Second
	// unavailableTime is how long a part whose holder did not answer is left out of the rounds.
	unavailableTime = 500 * time.Millisecond
	// maxWaiting bounds how many requests wait for one bucket on one VM.
	maxWaiting = 4096
)

// waiter is a request that waits for a token; its channel receives nil or a refusal exactly once, unless the request leaves the queue.
type waiter struct {
	since time.Time
	// deadline is when the caller's time ends; it is zero if that is not known.
	deadline time.Time
	done     chan error
}

// bucketLimiter spends the tokens of one bucket on one VM, whichever part they come from.
type bucketLimiter struct {
	limiter *Limiter
	node    tree.NodePath

	mu     sync.Mutex
	limit  quota.Limit
	tokens quota.TokenCache
	// waiting holds the requests that wait for a token, in order of arrival.
	waiting []*waiter
	// requesting is set while requestLoop runs.
	requesting bool
	// firstPart modulo the number of parts is the part with which the last round began.
	firstPart int
	// unavailable holds until when a part whose holder did not answer is left out of the rounds.
	unavailable map[int]time.Time
}

func (b *bucketLimiter) admit(ctx context.Context, limit quota.Limit) error {
	now := b.limiter.now()
	b.mu.Lock()
	b.limit = limit
	if len(b.waiting) == 0 && b.tokens.Take(now) {
		b.startRequests(now)
		b.mu.Unlock()
		return nil
	}
	if b.exceedsMaxWait(now) {
		retryAfter := b.tokenTime(len(b.waiting) + 1)
		b.mu.Unlock()
		return overRate(retryAfter)
	}
	w := &waiter{since: now, done: make(chan error, 1)}
	w.deadline, _ = ctx.Deadline()
	b.waiting = append(b.waiting, w)
	b.startRequests(now)
	b.mu.Unlock()
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return b.abandon(w)
	}
}

// exceedsMaxWait reports whether the queue is full, or the requests in it would use up all tokens that all VMs together get during the
// longest wait of a request.
func (b *bucketLimiter) exceedsMaxWait(now time.Time) bool {
	ahead := float64(len(b.waiting))
	return ahead >= maxWaiting || ahead > b.limit.Burst+b.limit.Rate*b.waitLimit(now).Seconds()
}

// waitLimit returns how long a request may wait: longer while the holder of a part is not answering, because its tokens may still arrive.
func (b *bucketLimiter) waitLimit(now time.Time) time.Duration {
	for _, until := range b.unavailable {
		if now.Before(until.Add(recoveryTime)) {
			return maxWaitUnavailable
		}
	}
	return maxWait
}

// startRequests starts to request tokens from the holders if they run low. The caller holds the lock.
func (b *bucketLimiter) startRequests(now time.Time) {
	if b.requesting || b.tokens.Wanted(now, len(b.waiting)) == 0 {
		return
	}
	b.requesting = true
	go b.requestLoop()
}

func (b *bucketLimiter) requestLoop() {
	for {
		retryAfter, more := b.requestRound()
		if !more {
			return
		}
		if retryAfter > 0 {
			time.Sleep(min(retryAfter, requestInterval))
		}
	}
}

// requestRound asks the holder of one part after another until the wanted tokens are granted. It reports whether to continue, and after
// which pause.
func (b *bucketLimiter) requestRound() (retryAfter time.Duration, more bool) {
	parts, wanted := b.planRound()
	if wanted == 0 {
		return 0, false
	}
	retryAfter = maxWaitUnavailable
	for _, part := range parts {
		grant, sentAt, err := b.requestPart(part, wanted)
		if err != nil {
			b.markUnavailable(part)
			retryAfter = min(retryAfter, requestInterval)
			continue
		}
		wanted -= grant.Tokens
		b.distribute(sentAt, grant)
		if wanted <= 0 {
			return 0, true
		}
		retryAfter = min(retryAfter, max(grant.RetryAfter, time.Millisecond))
	}
	if len(parts) == 0 {
		retryAfter = requestInterval
	}
	b.refuseLate(retryAfter)
	return retryAfter, true
}

// planRound returns the parts to ask and how many tokens are wanted. Each round begins with another part and leaves out the parts whose
// holder did not answer lately. If no tokens are wanted, planRound clears requesting.
func (b *bucketLimiter) planRound() (parts []int, wanted int) {
	now := b.limiter.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	wanted = b.tokens.Wanted(now, len(b.waiting))
	if wanted == 0 {
		b.requesting = false
		return nil, 0
	}
	count := b.limit.Parts()
	b.firstPart++
	for i := range count {
		part := (b.firstPart + i) % count
		if !now.Before(b.unavailable[part]) {
			parts = append(parts, part)
		}
	}
	return parts, wanted
}

func (b *bucketLimiter) requestPart(part, wanted int) (quota.Grant, time.Time, error) {
	b.mu.Lock()
	sentAt := b.limiter.now()
	id, tokens := b.tokens.TakeUnspent(sentAt, part)
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	grant, err := b.limiter.source.Request(ctx, Part{Node: b.node, Index: part}, wanted, id, tokens)
	grant.Part = part
	return grant, sentAt, err
}

func (b *bucketLimiter) markUnavailable(part int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.unavailable == nil {
		b.unavailable = map[int]time.Time{}
	}
	b.unavailable[part] = b.limiter.now().Add(unavailableTime)
}

// distribute gives tokens to the waiting requests in order of arrival.
func (b *bucketLimiter) distribute(sentAt time.Time, grant quota.Grant) {
	now := b.limiter.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	spent := b.tokens.Receive(now, sentAt, grant, len(b.waiting))
	for _, w := range b.waiting[:spent] {
		w.done <- nil
	}
	b.waiting = b.waiting[spent:]
}

// refuseLate refuses the requests that get no token in the time that they may wait, if the next token is available after nextToken.
func (b *bucketLimiter) refuseLate(nextToken time.Duration) {
	now := b.limiter.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.waitLimit(now)
	var waiting []*waiter
	for _, w := range b.waiting {
		after := nextToken + b.tokenTime(len(waiting))
		decision := wait.Decide(now, wait.At(now.Add(after)), wait.Request{Deadline: w.latest(limit)})
		if decision.Wait {
			waiting = append(waiting, w)
			continue
		}
		w.done <- overRate(after)
	}
	b.waiting = waiting
}

// tokenTime returns the time in which all VMs together get a number of tokens.
func (b *bucketLimiter) tokenTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / b.limit.Rate * float64(time.Second))
}

// latest returns the last instant at which a token is of use, if a request may wait for limit.
func (w *waiter) latest(limit time.Duration) time.Time {
	latest := w.since.Add(limit)
	if !w.deadline.IsZero() && w.deadline.Before(latest) {
		return w.deadline
	}
	return latest
}

// abandon removes a request from the queue; a token granted to it at the same moment is lost, so that too few requests are admitted
// rather than too many.
func (b *bucketLimiter) abandon(w *waiter) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.waiting {
		if other == w {
			b.waiting = append(b.waiting[:i:i], b.waiting[i+1:]...)
			break
		}
	}
	return model.Refuse(model.ReasonOverload, "no holder of the rate limit answered before the deadline").WithRetryAfter(maxWait)
}

func overRate(retryAfter time.Duration) error {
	return model.Refuse(model.ReasonOverRate, "the team or route is above its rate and burst").WithRetryAfter(wait.Spread(retryAfter, rand.Float64()))
}
