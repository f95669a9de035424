package peers

import (
	"io"
	"net/netip"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
	"github.com/crocusshore/crocusshore/share"
	"github.com/crocusshore/crocusshore/state"
)

// newLimiterWithTokens returns a rate limiter that does not run, and what tells how many tokens its bucket has.
func newLimiterWithTokens(t *testing.T) (r *RateLimiter, tokens func() int) {
	t.Helper()
	now := clock.Now()
	// The rate is so low that only granted tokens count.
	few := policy.Team{Name: "team", Rate: 0.001, Burst: 1000}
	team := func(name model.TeamName) (policy.Team, bool) { return few, name == few.Name }
	limiter := share.New(now, share.Config{Domain: "a", Weight: func() float64 { return 1 }, Team: team})
	cache := state.New(state.Config{VM: "vm"})
	r = NewRateLimiter(now, RateLimiterConfig{
		Self: "vm", Domain: "a", Rankings: state.NewRankings(cache), Limiter: limiter, Team: team, Log: log.New(io.Discard),
	})
	return r, func() int {
		admitted := 0
		for limiter.Admit(now, few, share.BucketStart{FillFrom: now}).Admitted {
			admitted++
		}
		return admitted
	}
}

// TestGrantedTokensCountOnce guards against tokens that are used twice because their datagram came twice, and against tokens that were not requested:
// the operations of a team exceed its rate.
func TestGrantedTokensCountOnce(t *testing.T) {
	r, tokens := newLimiterWithTokens(t)
	_ = tokens()
	now, owner := clock.Now(), netip.MustParseAddrPort("127.0.0.1:7000")
	loan := func(id uint64) datagram {
		return datagram{Loans: []share.TokenTransfer{{VM: "b", Team: "team", Tokens: 5}}, LoansFor: id}
	}
	r.handle(now, owner, loan(0))
	r.handle(now, owner, loan(77))
	require.Zero(t, tokens(), "nothing was requested")
	id := r.expectTokens(now, owner)
	r.handle(now, owner, loan(id))
	r.handle(now, owner, loan(id))
	require.Equal(t, 5, tokens())
	r.handle(now, owner, loan(id))
	require.Zero(t, tokens())
	late := r.expectTokens(now, owner)
	_ = r.expectTokens(now.Add(2*tokenAnswerTime), owner)
	r.handle(now.Add(2*tokenAnswerTime), owner, loan(late))
	require.Zero(t, tokens(), "an answer that is late does not count")
	require.LessOrEqual(t, len(r.wanted), 1, "requests without an answer are forgotten")
}

// TestTokensOfAnOlderProgramCount guards against operations refused as over the rate during an update: an older program takes the tokens out of its bucket
// and grants them without a number.
func TestTokensOfAnOlderProgramCount(t *testing.T) {
	r, tokens := newLimiterWithTokens(t)
	_ = tokens()
	now, owner := clock.Now(), netip.MustParseAddrPort("127.0.0.1:7000")
	_ = r.expectTokens(now, owner)
	loan := datagram{Loans: []share.TokenTransfer{{VM: "b", Team: "team", Tokens: 5}}}
	r.handle(now, netip.MustParseAddrPort("127.0.0.2:7000"), loan)
	require.Zero(t, tokens(), "another VM was asked")
	r.handle(now, owner, loan)
	r.handle(now, owner, loan)
	require.Equal(t, 5, tokens())
}

// TestAdmissionAnsweredTwiceCountsForOneOperation guards against the answer for one operation that admits another one, also one of the process that
// ran at the address before.
func TestAdmissionAnsweredTwiceCountsForOneOperation(t *testing.T) {
	f := startAdmitters(t, 2)
	r := f.limiters["0-0"]
	answers := make(chan share.Decision, 1)
	r.mu.Lock()
	r.pending[r.lastID+1] = answers
	id := r.lastID + 1
	r.mu.Unlock()
	for range 3 {
		r.deliverReply(admissionReply{ID: id, Verdict: share.Decision{Admitted: true}})
	}
	require.Len(t, answers, 1)
	require.Empty(t, r.pending)
	first, again := f.limiters["0-0"].lastID, f.limiters["0-1"].lastID
	require.Greater(t, max(first, again)-min(first, again), uint64(1<<20), "two processes do not use the same numbers")
}
