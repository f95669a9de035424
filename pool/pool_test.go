package pool

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

// fakeUpstream counts its connections and rejects those above its limit.
type fakeUpstream struct {
	model.Upstream
	limit  int64
	opened atomic.Int64
	open   atomic.Int64
}

type fakeConn struct {
	upstream *fakeUpstream
	busy     atomic.Bool
}

func (u *fakeUpstream) Open(context.Context) (model.UpstreamConn, error) {
	if u.open.Add(1) > u.limit {
		u.open.Add(-1)
		return nil, &model.UpstreamError{Code: model.CodeTooManyConnections, Detail: "full"}
	}
	u.opened.Add(1)
	return &fakeConn{upstream: u}, nil
}

func (c *fakeConn) Run(context.Context, model.Run) (model.Result, error) { return model.Result{}, nil }

func (c *fakeConn) Close(context.Context) error {
	c.upstream.open.Add(-1)
	return nil
}

func TestAConnectionCarriesOneRequestAtATime(t *testing.T) {
	upstream := &fakeUpstream{limit: 5}
	p := New(Config{Upstream: upstream, MaxConns: 5})
	var wait sync.WaitGroup
	for range 40 {
		wait.Go(func() {
			for range 50 {
				c, err := p.Get(context.Background())
				require.NoError(t, err)
				require.True(t, c.(*fakeConn).busy.CompareAndSwap(false, true), "two requests on one connection")
				c.(*fakeConn).busy.Store(false)
				p.Put(c)
			}
		})
	}
	wait.Wait()
	require.LessOrEqual(t, upstream.opened.Load(), int64(5))
}

func TestADroppedConnectionIsNeverReused(t *testing.T) {
	p := New(Config{Upstream: &fakeUpstream{limit: 2}, MaxConns: 1})
	first, err := p.Get(context.Background())
	require.NoError(t, err)
	p.Drop(first)
	second, err := p.Get(context.Background())
	require.NoError(t, err)
	require.NotSame(t, first, second)
}

func TestFailedGetReportsThatNothingRan(t *testing.T) {
	p := New(Config{Upstream: &fakeUpstream{limit: 0}, MaxConns: 1})
	var refused *model.UpstreamError
	_, err := p.Get(context.Background())
	require.ErrorAs(t, err, &refused)
	require.Equal(t, model.CodeTooManyConnections, refused.Code)

	p = New(Config{Upstream: &fakeUpstream{limit: 1}, MaxConns: 1})
	_, err = p.Get(context.Background())
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	_, err = p.Get(ctx)
	require.ErrorAs(t, err, &refused)
}
