package conns

import (
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/platform"
	"github.com/crocusshore/crocusshore/tree"
)

var instance = model.Instance{Name: "i", Group: "g", Address: netip.MustParseAddrPort("10.0.0.1:5000"), Slots: 3}

func newPool(budget int) (*Pool, *fakeDialer) {
	d := &fakeDialer{}
	return New(Config{Dialer: d, Formatter: platform.StatementFormatter{}, Budget: func(model.Instance) int { return budget }}), d
}

func request(team string, wait time.Duration) Request {
	return Request{Instance: instance, Team: model.TeamName(team), Class: tree.ClassNormal, Deadline: clock.Now().Add(wait)}
}

func TestConnectionBelongsToOneTeam(t *testing.T) {
	p, d := newPool(2)
	a, err := p.Get(clock.Now(), request("a", time.Second))
	require.NoError(t, err)
	p.Put(clock.Now(), a)
	b, err := p.Get(clock.Now(), request("b", time.Second))
	require.NoError(t, err)
	require.NotSame(t, a, b)
	require.Equal(t, []model.TeamName{"a", "b"}, d.teams)
	p.Put(clock.Now(), b)
	// Both are idle and the budget is used up: the least recently used one is closed.
	c, err := p.Get(clock.Now(), request("c", time.Second))
	require.NoError(t, err)
	require.True(t, d.conns[0].closed)
	require.False(t, d.conns[1].closed)
	p.Put(clock.Now(), c)
	used, waiting := p.InUse("i")
	require.Zero(t, used)
	require.Zero(t, waiting)
}

func TestBudgetIsNeverExceededUnderABurst(t *testing.T) {
	const budget, callers = 3, 60
	p, d := newPool(budget)
	var wait sync.WaitGroup
	var mu sync.Mutex
	held, mostHeld, served := 0, 0, 0
	for i := range callers {
		wait.Go(func() {
			c, err := p.Get(clock.Now(), request([]string{"a", "b", "c", "d"}[i%4], 2*time.Second))
			if err != nil {
				return
			}
			mu.Lock()
			held++
			mostHeld = max(mostHeld, held)
			served++
			mu.Unlock()
			time.Sleep(2 * time.Millisecond)
			mu.Lock()
			held--
			mu.Unlock()
			p.Put(clock.Now(), c)
		})
	}
	wait.Wait()
	require.LessOrEqual(t, mostHeld, budget)
	require.Equal(t, callers, served)
	open := 0
	for _, conn := range d.conns {
		if !conn.closed {
			open++
		}
	}
	require.LessOrEqual(t, open, budget)
}

func TestWaitEndsAtTheDeadlineAndLeaksNothing(t *testing.T) {
	p, _ := newPool(1)
	c, err := p.Get(clock.Now(), request("a", time.Second))
	require.NoError(t, err)
	_, err = p.Get(clock.Now(), request("b", 20*time.Millisecond))
	require.ErrorIs(t, err, ErrBusy)
	p.Put(clock.Now(), c)
	_, err = p.Get(clock.Now(), request("b", time.Second))
	require.NoError(t, err)
	used, waiting := p.InUse("i")
	require.Equal(t, 1, used)
	require.Zero(t, waiting)
}

func TestRefusedConnectionDoesNotUseUpTheBudget(t *testing.T) {
	p, d := newPool(1)
	d.err = &model.RefusedError{Fault: model.FaultTooMany}
	_, err := p.Get(clock.Now(), request("a", 50*time.Millisecond))
	require.Error(t, err)
	_, err = p.Get(clock.Now(), request("a", 20*time.Millisecond))
	require.ErrorIs(t, err, ErrBusy, "no connection is opened right after the instance had too many")
	d.err = nil
	time.Sleep(refusedPause)
	_, err = p.Get(clock.Now(), request("a", 50*time.Millisecond))
	require.NoError(t, err)
}

func TestTrimClosesConnectionsBeyondAReducedBudget(t *testing.T) {
	budget := 3
	d := &fakeDialer{}
	p := New(Config{Dialer: d, Formatter: platform.StatementFormatter{}, Budget: func(model.Instance) int { return budget }})
	var held []*Conn
	for range 3 {
		c, err := p.Get(clock.Now(), request("a", time.Second))
		require.NoError(t, err)
		held = append(held, c)
	}
	for _, c := range held[:2] {
		p.Put(clock.Now(), c)
	}
	budget = 1
	p.Trim()
	require.True(t, d.conns[0].closed)
	require.True(t, d.conns[1].closed)
	require.False(t, d.conns[2].closed, "a connection in use is not closed")
}

func TestDropRemovesTheBucketOfAnInstance(t *testing.T) {
	p, d := newPool(2)
	c, err := p.Get(clock.Now(), request("a", time.Second))
	require.NoError(t, err)
	p.Put(clock.Now(), c)
	p.Drop("i")
	require.True(t, d.conns[0].closed)
	require.Empty(t, p.buckets)
	p.Drop("i")
}

func TestDeadIdleConnectionIsNotUsed(t *testing.T) {
	p, d := newPool(2)
	c, err := p.Get(clock.Now(), request("a", time.Second))
	require.NoError(t, err)
	p.Put(clock.Now(), c)
	d.conns[0].dead = true
	again, err := p.Get(clock.Now(), request("a", time.Second))
	require.NoError(t, err)
	require.NotSame(t, c, again)
	require.True(t, d.conns[0].closed)
}

func TestBrokenConnectionIsClosed(t *testing.T) {
	p, d := newPool(1)
	c, err := p.Get(clock.Now(), request("a", time.Second))
	require.NoError(t, err)
	c.Break()
	p.Put(clock.Now(), c)
	require.True(t, d.conns[0].closed)
	_, err = p.Get(clock.Now(), request("a", time.Second))
	require.NoError(t, err)
}

func newConn(conn *fakeInstanceConn) *Conn {
	return &Conn{Instance: instance, Team: "a", instanceConn: conn, formatter: platform.StatementFormatter{}, prepared: map[model.Prepared]string{}, answers: newAnswers(), state: model.TxNone}
}

func TestValuesOfOneSessionNeverReachAnother(t *testing.T) {
	fake := &fakeInstanceConn{}
	c := newConn(fake)
	deadline := clock.Now().Add(time.Second)
	read := model.Query{ID: "1", Kind: model.CommandRead, Text: "READ a"}
	for _, values := range []map[string]string{{"zone": "x"}, {"zone": "x"}, {"zone": "y"}, {}} {
		_, err := setupAndRun(c, deadline, values, read)
		require.NoError(t, err)
	}
	require.Equal(t, []string{"SET zone x", "READ a", "READ a", "SET zone y", "READ a", "RESET", "READ a"}, fake.sent)
}

func TestPreparedNamesOfCallersNeverCollide(t *testing.T) {
	fake := &fakeInstanceConn{}
	c := newConn(fake)
	deadline := clock.Now().Add(time.Second)
	read, write := model.Prepared{Shape: "q"}, model.Prepared{Shape: "q", Write: true}
	for _, p := range []model.Prepared{read, write, read} {
		require.NoError(t, c.Setup(deadline, nil, &p))
		_, err := c.Execute(deadline, p, model.Query{ID: "1", Kind: model.CommandExecute}, "item")
		require.NoError(t, err)
	}
	require.Equal(t, []string{"PREPARE p1 READ q", "EXEC p1 item", "PREPARE p2 WRITE q", "EXEC p2 item", "EXEC p1 item"}, fake.sent)
	_, err := setupAndRun(c, deadline, map[string]string{"a": "b"}, model.Query{ID: "1", Kind: model.CommandRead, Text: "READ a"})
	require.NoError(t, err)
	require.NoError(t, c.Setup(deadline, nil, &read))
	_, err = c.Execute(deadline, read, model.Query{ID: "1", Kind: model.CommandExecute}, "item")
	require.NoError(t, err)
	require.Equal(t, []string{"RESET", "PREPARE p3 READ q", "EXEC p3 item"}, fake.sent[len(fake.sent)-3:], "a reset drops prepared statements")
}

func TestFaultsThatLeaveTheConnectionStateUnknownBreakIt(t *testing.T) {
	for name, answer := range map[string]func(model.Query) (model.Reply, error){
		"no answer":         func(model.Query) (model.Reply, error) { return model.Reply{}, model.ErrNoAnswer },
		"unknown statement": func(model.Query) (model.Reply, error) { return model.Reply{Fault: model.FaultNoStatement}, nil },
		"value refused": func(q model.Query) (model.Reply, error) {
			if q.ID == "" {
				return model.Reply{Fault: model.FaultBadMessage}, nil
			}
			return model.Reply{}, nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newConn(&fakeInstanceConn{answer: answer})
			_, err := setupAndRun(c, clock.Now().Add(time.Second), map[string]string{"a": "b"}, model.Query{ID: "1", Kind: model.CommandRead, Text: "READ a"})
			require.True(t, c.Broken())
			if name != "unknown statement" {
				require.True(t, errors.Is(err, model.ErrNoAnswer) || errors.Is(err, model.ErrNotSent))
			}
		})
	}
	require.False(t, errors.Is(ErrBusy, model.ErrNoAnswer))
}
