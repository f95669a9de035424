package conns

import (
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/tree"
)

// holdOnce takes a connection, keeps it for a time and returns it.
func holdOnce(t *testing.T, p *Pool, team string, hold time.Duration) {
	t.Helper()
	c, err := p.Get(clock.Now(), request(team, 10*time.Second))
	require.NoError(t, err)
	time.Sleep(hold)
	p.Put(clock.Now(), c)
}

// TestRequestIsRefusedAtOnceIfNoConnectionComesInTime guards against callers that wait for a connection that cannot come free in their time.
func TestRequestIsRefusedAtOnceIfNoConnectionComesInTime(t *testing.T) {
	const hold = 200 * time.Millisecond
	p, _ := newPool(1)
	holdOnce(t, p, "a", hold)
	c, err := p.Get(clock.Now(), request("a", time.Second))
	require.NoError(t, err)
	defer func() { p.Put(clock.Now(), c) }()
	start := clock.Now()
	_, err = p.Get(start, request("b", hold/2))
	require.ErrorIs(t, err, ErrBusy)
	require.Less(t, clock.Now().Sub(start), hold/4)
	require.GreaterOrEqual(t, RetryAfter(err), hold-hold/10)
}

// TestWaitingRequestIsRefusedWhenItsTurnMoves guards against callers that wait on although others, which go first, use up their time.
func TestWaitingRequestIsRefusedWhenItsTurnMoves(t *testing.T) {
	const hold = 100 * time.Millisecond
	p, _ := newPool(1)
	holdOnce(t, p, "a", hold)
	c, err := p.Get(clock.Now(), request("a", time.Second))
	require.NoError(t, err)
	start := clock.Now()
	refused := make(chan time.Duration, 1)
	go func() {
		r := request("a", 4*hold)
		r.Class = tree.ClassBrowsing
		_, err := p.Get(start, r)
		if err != nil {
			refused <- clock.Now().Sub(start)
		}
		close(refused)
	}()
	var others sync.WaitGroup
	for range 8 {
		time.Sleep(time.Millisecond)
		others.Go(func() {
			r := request("b", 10*time.Second)
			r.Class = tree.ClassReservation
			c, err := p.Get(clock.Now(), r)
			if err == nil {
				p.Put(clock.Now(), c)
			}
		})
	}
	held, wasRefused := <-refused
	require.True(t, wasRefused)
	require.Less(t, held, 2*hold, "before its deadline, and before the connection came free")
	p.Put(clock.Now(), c)
	others.Wait()
}

// TestManyRequestsOfATeamWaitIfTheyHaveTime guards against callers that are refused for their number alone.
func TestManyRequestsOfATeamWaitIfTheyHaveTime(t *testing.T) {
	const callers = 60
	p, _ := newPool(1)
	holdOnce(t, p, "a", time.Millisecond)
	var wait sync.WaitGroup
	errs := make(chan error, callers)
	for range callers {
		wait.Go(func() {
			c, err := p.Get(clock.Now(), request("a", 5*time.Second))
			errs <- err
			if err == nil {
				time.Sleep(time.Millisecond)
				p.Put(clock.Now(), c)
			}
		})
	}
	wait.Wait()
	close(errs)
	for err := range errs {
		require.NoError(t, err)
	}
}

// TestConnectionIsNotOpenedBeyondTheCallersTime guards against callers that are held while a connection to a dark instance is opened.
func TestConnectionIsNotOpenedBeyondTheCallersTime(t *testing.T) {
	p, d := newPool(1)
	start := clock.Now()
	_, err := p.Get(start, request("a", 50*time.Millisecond))
	require.NoError(t, err)
	require.LessOrEqual(t, time.Until(d.deadline), 50*time.Millisecond)
	_, err = p.Get(start.Add(time.Second), request("a", -time.Second))
	require.ErrorIs(t, err, ErrBusy, "no evidence against the instance")
}

// TestWaitingRequestIsServedOnceTheInstanceTakesConnectionsAgain guards against callers that wait until their deadline although a connection may be
// opened: nothing woke them after an instance had refused one because it had too many.
func TestWaitingRequestIsServedOnceTheInstanceTakesConnectionsAgain(t *testing.T) {
	p, d := newPool(1)
	d.err = &model.RefusedError{Fault: model.FaultTooMany}
	_, err := p.Get(clock.Now(), request("a", time.Second))
	require.Error(t, err)
	d.mu.Lock()
	d.err = nil
	d.mu.Unlock()
	start := clock.Now()
	_, err = p.Get(start, request("a", 5*time.Second))
	require.NoError(t, err)
	require.InDelta(t, refusedPause, clock.Now().Sub(start), float64(100*time.Millisecond))
}

// TestDialThatHadTimeIsEvidenceAgainstTheInstance guards against a dark primary that no VM suspects: status requests, which have less time than the
// opening of a connection may take, were no evidence.
func TestDialThatHadTimeIsEvidenceAgainstTheInstance(t *testing.T) {
	for _, c := range []struct {
		time     time.Duration
		evidence bool
	}{{250 * time.Millisecond, true}, {20 * time.Millisecond, false}} {
		p, d := newPool(1)
		d.err = model.ErrNoAnswer
		d.wait = c.time
		_, err := p.Get(clock.Now(), request("a", c.time))
		require.Error(t, err)
		require.Equal(t, !c.evidence, errors.Is(err, ErrBusy))
	}
}
