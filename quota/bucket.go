package quota

import (
	"math"
	"time"
)

// Grant is a number of tokens that were taken from a bucket and can be spent for TTL after they were requested.
type Grant struct {
	ID string
	// Part is the part of the bucket that the tokens come from.
	Part   int
	Tokens int
	TTL    time.Duration
	// RetryAfter is the time until the next token is available, if fewer were granted than wanted.
	RetryAfter time.Duration
}

type outstanding struct {
	id      string
	tokens  int
	expires time.Time
}

// Bucket grants the tokens of one limit, or of one part of a limit. Exactly one VM holds a bucket at a time. It is not safe for concurrent
// use.
type Bucket struct {
	limit Limit
	// level is how many tokens could be granted at refilledAt.
	level      float64
	refilledAt time.Time
	// outstanding holds the grants that had not expired at refilledAt, and granted is the sum of their tokens that were not returned.
	outstanding []outstanding
	granted     float64
}

// NewBucket returns an empty bucket, because another holder may just have granted all tokens.
func NewBucket(limit Limit, now time.Time) *Bucket {
	return &Bucket{limit: limit, refilledAt: now}
}

// Resize changes the limit from now on.
func (b *Bucket) Resize(now time.Time, limit Limit) {
	b.refill(now)
	b.limit = limit
	b.level = min(b.level, b.maxLevel())
}

// Grant grants up to wanted tokens under an identifier.
func (b *Bucket) Grant(now time.Time, id string, wanted int) Grant {
	b.refill(now)
	tokens := max(0, min(wanted, int(b.level)))
	grant := Grant{ID: id, Tokens: tokens, TTL: b.limit.TokenTTL()}
	if tokens < wanted {
		grant.RetryAfter = b.untilNext(tokens)
	}
	if tokens == 0 {
		return grant
	}
	b.level -= float64(tokens)
	b.granted += float64(tokens)
	b.outstanding = append(b.outstanding, outstanding{id: id, tokens: tokens, expires: now.Add(grant.TTL)})
	return grant
}

// Return puts unspent tokens of a grant back into the bucket; those of an expired grant are ignored.
func (b *Bucket) Return(now time.Time, id string, tokens int) {
	b.refill(now)
	for i := range b.outstanding {
		grant := &b.outstanding[i]
		if grant.id != id {
			continue
		}
		returned := max(0, min(tokens, grant.tokens))
		grant.tokens -= returned
		b.granted -= float64(returned)
		b.level = min(b.level+float64(returned), b.maxLevel())
		return
	}
}

// Level returns how many tokens the bucket holds.
func (b *Bucket) Level(now time.Time) float64 {
	b.refill(now)
	return b.level
}

func (b *Bucket) refill(now time.Time) {
	if !now.After(b.refilledAt) {
		return
	}
	b.expire(now)
	b.level = min(b.level+b.limit.Rate*now.Sub(b.refilledAt).Seconds(), max(b.maxLevel(), b.level))
	b.refilledAt = now
}

func (b *Bucket) expire(now time.Time) {
	kept := b.outstanding[:0]
	for _, grant := range b.outstanding {
		if now.After(grant.expires) {
			b.granted -= float64(grant.tokens)
			continue
		}
		kept = append(kept, grant)
	}
	b.outstanding = kept
}

// maxLevel returns the highest allowed level: granted tokens count against the capacity until they are returned or have expired.
func (b *Bucket) maxLevel() float64 {
	return max(0, b.limit.Capacity()-b.granted)
}

func (b *Bucket) untilNext(tokens int) time.Duration {
	missing := math.Max(0, float64(tokens+1)-b.level)
	return time.Duration(missing / b.limit.Rate * float64(time.Second))
}
