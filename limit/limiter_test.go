package limit

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/quota"
)

// fakeHolders answer for the parts of one bucket.
type fakeHolders struct {
	mu          sync.Mutex
	tokens      map[int]int
	unavailable map[int]bool
	// retryAfter is the time after which the holders have tokens again, 1 ms if it is 0.
	retryAfter time.Duration
}

var errUnavailable = errors.New("holder unavailable")

// Request implements TokenSource.
func (f *fakeHolders) Request(_ context.Context, part Part, wanted int, _ string, _ int) (quota.Grant, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable[part.Index] {
		return quota.Grant{}, errUnavailable
	}
	granted := min(wanted, f.tokens[part.Index])
	f.tokens[part.Index] -= granted
	return quota.Grant{ID: "g", Tokens: granted, TTL: time.Minute, RetryAfter: max(f.retryAfter, time.Millisecond)}, nil
}

func (f *fakeHolders) set(part, tokens int, unavailable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tokens[part], f.unavailable[part] = tokens, unavailable
}

func newHolders() *fakeHolders {
	return &fakeHolders{tokens: map[int]int{}, unavailable: map[int]bool{}}
}

var testLimit = quota.Limit{Rate: 30, Burst: 30}

func TestOtherPartsServeWhileOneIsUnavailable(t *testing.T) {
	holders := newHolders()
	holders.set(0, 0, true)
	holders.set(1, 2, false)
	holders.set(2, 3, false)
	limiter := New(holders, time.Now)
	for range 5 {
		require.NoError(t, limiter.Admit(context.Background(), "Teams/A", testLimit))
	}
}

func TestRequestWaitsForUnavailableHolder(t *testing.T) {
	holders := newHolders()
	for part := range testLimit.Parts() {
		holders.set(part, 0, true)
	}
	limiter := New(holders, time.Now)
	done := make(chan error, 1)
	go func() { done <- limiter.Admit(context.Background(), "Teams/A", testLimit) }()
	time.Sleep(2 * maxWait)
	for part := range testLimit.Parts() {
		holders.set(part, 1, false)
	}
	require.NoError(t, <-done, "a request within its rate is not refused because a holder failed")
}

func TestAboveTheRateIsRefusedAsNotRun(t *testing.T) {
	limiter := New(newHolders(), time.Now)
	var refusal *model.Refusal
	require.ErrorAs(t, limiter.Admit(context.Background(), "Teams/A", testLimit), &refusal)
	require.Equal(t, model.ReasonOverRate, refusal.Reason)
	require.Equal(t, model.NotRun, refusal.Outcome)
	require.Positive(t, refusal.RetryAfter)
}

func TestWaitEndsAtTheDeadline(t *testing.T) {
	holders := newHolders()
	for part := range testLimit.Parts() {
		holders.set(part, 0, true)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var refusal *model.Refusal
	require.ErrorAs(t, New(holders, time.Now).Admit(ctx, "Teams/A", testLimit), &refusal)
	require.Equal(t, model.ReasonOverload, refusal.Reason)
}

// TestRequestIsRefusedAtOnceIfItsTokenComesTooLate guards against callers that wait for a token that the holders announced for later than they may
// wait or have time.
func TestRequestIsRefusedAtOnceIfItsTokenComesTooLate(t *testing.T) {
	for _, c := range []struct {
		name              string
		token, timeout    time.Duration
		waits             bool
		earliestRetryTime time.Duration
	}{
		{"after the caller's time", 100 * time.Millisecond, 50 * time.Millisecond, false, 100 * time.Millisecond},
		{"after the longest wait", 2 * maxWait, 5 * time.Second, false, 2 * maxWait},
		{"in time", 20 * time.Millisecond, 5 * time.Second, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			holders := newHolders()
			holders.retryAfter = c.token
			if c.waits {
				time.AfterFunc(c.token, func() { holders.set(0, 1, false) })
			}
			ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
			defer cancel()
			start := time.Now()
			err := New(holders, time.Now).Admit(ctx, "Teams/A", testLimit)
			if c.waits {
				require.NoError(t, err)
				return
			}
			var refusal *model.Refusal
			require.ErrorAs(t, err, &refusal)
			require.Equal(t, model.ReasonOverRate, refusal.Reason)
			require.GreaterOrEqual(t, refusal.RetryAfter, c.earliestRetryTime)
			require.Less(t, time.Since(start), 25*time.Millisecond)
		})
	}
}
