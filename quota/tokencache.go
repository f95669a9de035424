package quota

import (
	"slices"
	"time"
)

const (
	// demandWindow is the time over which demand is averaged.
	demandWindow = 250 * time.Millisecond
	// prefetchTime is how far ahead a cache requests tokens: they cover the demand that is expected within this time.
	prefetchTime = 40 * time.Millisecond
	// prefetchThreshold sets when a cache requests more tokens: once it holds less than prefetchThreshold times the tokens that are
	// expected to be spent within prefetchTime.
	prefetchThreshold = 0.5
)

type heldGrant struct {
	id      string
	part    int
	tokens  int
	expires time.Time
}

// TokenCache holds the granted tokens of one VM until they are spent or expire. It is not safe for concurrent use.
type TokenCache struct {
	grants    []heldGrant
	demand    float64
	decayedAt time.Time
}

// Take spends a token and reports whether there was one.
func (c *TokenCache) Take(now time.Time) bool {
	c.recordDemand(now)
	return c.spend(now)
}

// spend takes a token for a request that is already counted as demand.
func (c *TokenCache) spend(now time.Time) bool {
	for i := range c.grants {
		if c.grants[i].tokens > 0 && now.Before(c.grants[i].expires) {
			c.grants[i].tokens--
			return true
		}
	}
	return false
}

// Receive spends up to waiting tokens of a grant at once, keeps the rest and returns how many it spent; sentAt is when the
// grant was requested. A grant that arrives after its TTL is discarded.
func (c *TokenCache) Receive(now, sentAt time.Time, grant Grant, waiting int) int {
	expires := sentAt.Add(grant.TTL)
	if !now.Before(expires) {
		return 0
	}
	spent := min(waiting, grant.Tokens)
	if rest := grant.Tokens - spent; rest > 0 {
		c.grants = append(c.grants, heldGrant{id: grant.ID, part: grant.Part, tokens: rest, expires: expires})
	}
	return spent
}

// Wanted returns how many tokens to request while the given number of requests wait, or zero for none.
func (c *TokenCache) Wanted(now time.Time, waiting int) int {
	c.decay(now)
	ahead := c.demand / demandWindow.Seconds() * prefetchTime.Seconds()
	have := float64(c.Tokens(now))
	if waiting == 0 && have >= ahead*prefetchThreshold {
		return 0
	}
	return max(waiting, int(float64(waiting)+ahead-have))
}

// Tokens returns how many tokens can be spent now.
func (c *TokenCache) Tokens(now time.Time) int {
	total := 0
	for _, grant := range c.grants {
		if now.Before(grant.expires) {
			total += grant.tokens
		}
	}
	return total
}

// TakeUnspent drops the grants that are used up or expired. If there is no demand any more, it also removes one grant of a part
// and returns its identifier and unspent tokens.
func (c *TokenCache) TakeUnspent(now time.Time, part int) (id string, tokens int) {
	c.grants = slices.DeleteFunc(c.grants, func(grant heldGrant) bool {
		return grant.tokens == 0 || !now.Before(grant.expires)
	})
	if c.demand >= 1 {
		return "", 0
	}
	for i, grant := range c.grants {
		if grant.part == part {
			c.grants = slices.Delete(c.grants, i, i+1)
			return grant.id, grant.tokens
		}
	}
	return "", 0
}

func (c *TokenCache) recordDemand(now time.Time) {
	c.decay(now)
	c.demand++
}

func (c *TokenCache) decay(now time.Time) {
	if c.decayedAt.IsZero() {
		c.decayedAt = now
		return
	}
	elapsed := now.Sub(c.decayedAt)
	if elapsed <= 0 {
		return
	}
	keep := 1 - min(1, elapsed.Seconds()/demandWindow.Seconds())
	c.demand *= keep
	c.decayedAt = now
}
