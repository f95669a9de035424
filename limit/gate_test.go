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
	mu     sync.Mutex
	tokens map[int]int
	lost   map[int]bool
}

var errLost = errors.New("lost")

// Request implements Asker.
func (f *fakeHolders) Request(_ context.Context, part Part, wanted int, _ string, _ int) (quota.Grant, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost[part.Index] {
		return quota.Grant{}, errLost
	}
	granted := min(wanted, f.tokens[part.Index])
	f.tokens[part.Index] -= granted
	return quota.Grant{ID: "g", Tokens: granted, TTL: time.Minute, RetryAfter: time.Millisecond}, nil
}

func (f *fakeHolders) set(part, tokens int, lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tokens[part], f.lost[part] = tokens, lost
}

func newHolders() *fakeHolders { return &fakeHolders{tokens: map[int]int{}, lost: map[int]bool{}} }

var testLimit = quota.Limit{Rate: 30, Burst: 30}

func TestTheOtherPartsServeWhenOneIsLost(t *testing.T) {
	holders := newHolders()
	holders.set(0, 0, true)
	holders.set(1, 2, false)
	holders.set(2, 3, false)
	gate := New(holders, time.Now)
	for range 5 {
		require.NoError(t, gate.Admit(context.Background(), "Teams/A", testLimit))
	}
}

func TestARequestWaitsForALostHolder(t *testing.T) {
	holders := newHolders()
	for part := range testLimit.Parts() {
		holders.set(part, 0, true)
	}
	gate := New(holders, time.Now)
	done := make(chan error, 1)
	go func() { done <- gate.Admit(context.Background(), "Teams/A", testLimit) }()
	time.Sleep(2 * maxWait)
	for part := range testLimit.Parts() {
		holders.set(part, 1, false)
	}
	require.NoError(t, <-done, "a request inside its rate is not refused because a holder died")
}

func TestAboveTheRateIsRefusedAsNotRun(t *testing.T) {
	gate := New(newHolders(), time.Now)
	var refusal *model.Refusal
	require.ErrorAs(t, gate.Admit(context.Background(), "Teams/A", testLimit), &refusal)
	require.Equal(t, model.ReasonOverRate, refusal.Reason)
	require.Equal(t, model.NotRun, refusal.Outcome)
	require.Positive(t, refusal.RetryAfter)
}

func TestADeadlineEndsTheWait(t *testing.T) {
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
