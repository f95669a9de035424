package limit

import (
	"context"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/quota"
	"github.com/crocusshore/crocusshore/tree"
)

// TokenSource requests tokens from the holders of buckets.
type TokenSource interface {
	// Request returns a grant of up to wanted tokens and gives unspent tokens of the grant returnedID back.
	// An error means that no holder answered.
	Request(ctx context.Context, part Part, wanted int, returnedID string, returned int) (quota.Grant, error)
}

// Limiter admits requests on one VM by spending tokens that the holders of the buckets have granted. It is safe for concurrent use.
type Limiter struct {
	source TokenSource
	now    func() time.Time

	mu      sync.Mutex
	buckets map[tree.NodePath]*bucketLimiter
}

// New returns a limiter that requests tokens through source.
func New(source TokenSource, now func() time.Time) *Limiter {
	return &Limiter{source: source, now: now, buckets: map[tree.NodePath]*bucketLimiter{}}
}

// Admit spends a token of a node's bucket, for which it may wait, or returns a refusal; a refused request has had no effect.
func (l *Limiter) Admit(ctx context.Context, node tree.NodePath, limit quota.Limit) error {
	return l.bucket(node).admit(ctx, limit)
}

func (l *Limiter) bucket(node tree.NodePath) *bucketLimiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[node]
	if b == nil {
		b = &bucketLimiter{limiter: l, node: node}
		l.buckets[node] = b
	}
	return b
}
