package status

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/crocusshore/crocusshore/conns"
	"github.com/crocusshore/crocusshore/model"
)

var (
	start    = time.Unix(100, 0)
	instance = model.Instance{Name: "i", Group: "g", Address: netip.MustParseAddrPort("10.0.0.1:1")}
	errDown  = errors.New("connection refused")
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func newTestBoard() *Board { return NewBoard(tally.NoopScope) }

// askNow asks for a state of an age at an instant. If the instance is asked, it answers, or fails with err, after a time; asked counts that.
func askNow(b *Board, now time.Time, maxAge, took time.Duration, err error, asked *int) Answer {
	return b.Ask(now, instance, maxAge, now.Add(time.Second), func() Answer {
		*asked++
		return Answer{State: model.InstanceState{Received: model.Mark{Position: model.Position(*asked)}}, At: now, EndedAt: now.Add(took), Err: err}
	})
}

// TestAnswerIsSharedUpToTheAgeThatIsAllowed guards against samples and leases that rest on an answer which is older than they may be.
func TestAnswerIsSharedUpToTheAgeThatIsAllowed(t *testing.T) {
	asked := 0
	b := newTestBoard()
	first := askNow(b, at(0), 100*time.Millisecond, time.Millisecond, nil, &asked)
	require.Equal(t, first, askNow(b, at(100), 100*time.Millisecond, time.Millisecond, nil, &asked))
	require.Equal(t, 1, asked)
	require.Equal(t, at(101), askNow(b, at(101), 100*time.Millisecond, time.Millisecond, nil, &asked).At)
	require.Equal(t, 2, asked)
	askNow(b, at(102), 0, time.Millisecond, nil, &asked)
	require.Equal(t, 3, asked, "a request that states no age, as one of an older program, asks anew")
}

// TestEveryAnswerIsRecentEnough checks in random schedules that no answer is older than its request allows, and that no instance is asked while an
// answer that is recent enough is known.
func TestEveryAnswerIsRecentEnough(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		b, asked, now := newTestBoard(), 0, start
		var last Answer
		for range 500 {
			now = now.Add(time.Duration(random.IntN(200)) * time.Millisecond)
			maxAge := time.Duration(random.IntN(600)) * time.Millisecond
			before := asked
			answer := askNow(b, now, maxAge, 0, nil, &asked)
			require.False(t, answer.At.Before(now.Add(-maxAge)), "seed %d", seed)
			if asked > before {
				require.True(t, maxAge == 0 || last.At.Before(now.Add(-maxAge)), "seed %d", seed)
			}
			last = answer
		}
	}
}

// TestFailureIsCountedOnceByEachVM guards against a primary that is suspected after one failure: a VM that asks again after 100 ms got the same failure.
func TestFailureIsCountedOnceByEachVM(t *testing.T) {
	const vms, pause, timeout, length = 47, 100 * time.Millisecond, 250 * time.Millisecond, 10 * time.Second
	b, asked := newTestBoard(), 0
	next := make([]time.Time, vms)
	had := make([]time.Time, vms)
	for vm := range next {
		next[vm] = at(vm)
	}
	for now := start; now.Before(start.Add(length)); now = now.Add(time.Millisecond) {
		for vm := range next {
			if now.Before(next[vm]) {
				continue
			}
			answer := askNow(b, now, pause, timeout, errDown, &asked)
			require.ErrorIs(t, answer.Err, errDown)
			require.NotEqual(t, had[vm], answer.EndedAt, "a failure counted twice")
			had[vm] = answer.EndedAt
			// A VM that shares a failure knows it at once, and the one that asked, at the end of the time-out.
			next[vm] = now.Add(pause)
			if answer.EndedAt.After(now) {
				next[vm] = answer.EndedAt.Add(pause)
			}
		}
	}
	require.LessOrEqual(t, asked, int(length/pause), "47 VMs ask at most as often as one")
}

// TestRequestsUnderWayAreShared guards against a primary that does not answer and is asked by every VM of the failure domain meanwhile.
func TestRequestsUnderWayAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms, took, maxAge = 47, 250 * time.Millisecond, 300 * time.Millisecond
		b, asked := newTestBoard(), 0
		ask := func() Answer {
			asked++
			sentAt := time.Now()
			time.Sleep(took)
			return Answer{At: sentAt, EndedAt: time.Now(), Err: errDown}
		}
		var wait sync.WaitGroup
		for vm := range vms {
			wait.Go(func() {
				time.Sleep(time.Duration(vm) * time.Millisecond)
				now := time.Now()
				require.ErrorIs(t, b.Ask(now, instance, maxAge, now.Add(took), ask).Err, errDown)
			})
		}
		wait.Wait()
		require.Equal(t, 1, asked)
	})
}

// TestWaitForARequestUnderWayEndsInTime guards against an asker that gives up the VM that owns the connection, and against evidence that is none.
func TestWaitForARequestUnderWayEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBoard()
		begun := time.Now()
		go b.Ask(begun, instance, time.Second, begun.Add(time.Second), func() Answer {
			time.Sleep(time.Second)
			return Answer{At: begun, EndedAt: time.Now()}
		})
		synctest.Wait()
		err := b.Ask(begun, instance, time.Second, begun.Add(50*time.Millisecond), func() Answer { panic("asked twice") }).Err
		require.True(t, errors.Is(err, conns.ErrBusy))
		require.Equal(t, 50*time.Millisecond, time.Since(begun))
		synctest.Wait()
		time.Sleep(time.Second)
	})
}

// TestUnmatchedAnswerIsNotKept guards against a repeated request that gets the answer for whose sake it is made: it may be an earlier one of its connection.
func TestUnmatchedAnswerIsNotKept(t *testing.T) {
	b, asked := newTestBoard(), 0
	require.Error(t, askNow(b, at(0), time.Second, 0, model.ErrUnmatched, &asked).Err)
	require.NoError(t, askNow(b, at(1), time.Second, 0, nil, &asked).Err)
	require.Equal(t, 2, asked)
}

// TestAnswerOfAnEarlierStartIsNotShared guards against the state of a process that has ended.
func TestAnswerOfAnEarlierStartIsNotShared(t *testing.T) {
	for name, other := range map[string]model.Instance{
		"address": {Name: "i", Address: netip.MustParseAddrPort("10.0.0.2:1")},
		"start":   {Name: "i", Address: instance.Address, StartedAt: at(1)},
	} {
		b, asked := newTestBoard(), 0
		askNow(b, at(0), time.Second, 0, nil, &asked)
		again := false
		b.Ask(at(1), other, time.Second, at(1000), func() Answer {
			again = true
			return Answer{At: at(1), EndedAt: at(1)}
		})
		require.True(t, again, name)
	}
}

// TestStatementsOfAPrimaryAnswerStatusRequests guards against requests for what the answers to statements on the same VM have just shown.
func TestStatementsOfAPrimaryAnswerStatusRequests(t *testing.T) {
	b, asked := newTestBoard(), 0
	mark := model.Mark{Term: 3, Position: 9}
	b.RecordStatement(at(30), at(10), instance, mark.Term, mark)
	b.RecordStatement(at(40), at(5), instance, 3, model.Mark{Term: 3, Position: 8})
	answer := askNow(b, at(100), 100*time.Millisecond, 0, nil, &asked)
	require.Zero(t, asked)
	require.Equal(t, at(10), answer.At, "the position counts as of when the statement was sent")
	require.Equal(t, model.InstanceState{Role: model.RolePrimary, Term: 3, Held: 3, Received: mark}, answer.State)
	require.NoError(t, askNow(b, at(111), 100*time.Millisecond, 0, nil, &asked).Err)
	require.Equal(t, 1, asked)
}

// TestNilBoardSharesNothing guards against programs without a board.
func TestNilBoardSharesNothing(t *testing.T) {
	var b *Board
	asked := 0
	b.RecordStatement(at(0), at(0), instance, 1, model.Mark{Term: 1, Position: 1})
	for range 2 {
		askNow(b, at(0), time.Second, 0, nil, &asked)
	}
	require.Equal(t, 2, asked)
}
