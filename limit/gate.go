package limit

import (
	"context"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/quota"
	"github.com/crocusshore/crocusshore/tree"
)

// TokenSource asks the holders of buckets for tokens.
type TokenSource interface {
	// Request returns a grant; an error means that no holder answered.
	Request(ctx context.Context, part Part, wanted int, returnedID string, returned int) (quota.Grant, error)
}

// Limiter admits requests on one VM by spending tokens that the holders of the buckets have minted.
type Limiter struct {
	source TokenSource
	now    func() time.Time

	mu      sync.Mutex
	buckets map[tree.NodePath]*bucketLimiter
}

// New returns a gate that asks for tokens through asker.
func New(asker TokenSource, now func() time.Time) *Limiter {
	return &Limiter{source: asker, now: now, buckets: map[tree.NodePath]*bucketLimiter{}}
}

// Admit spends a token of a node's bucket or refuses; the request has had no effect then.
func (g *Limiter) Admit(ctx context.Context, node tree.NodePath, limit quota.Limit) error {
	return g.bucket(node).admit(ctx, limit)
}

func (g *Limiter) bucket(node tree.NodePath) *bucketLimiter {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.buckets[node]
	if b == nil {
		b = &bucketLimiter{limiter: g, node: node}
		g.buckets[node] = b
	}
	return b
}
