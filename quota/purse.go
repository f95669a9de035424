package quota

import (
	"slices"
	"time"
)

const (
	// demandWindow is the time over which demand is averaged.
	demandWindow = 250 * time.Millisecond
	// prefetchTime is how much demand a purse asks for in advance.
	prefetchTime = 40 * time.Millisecond
	// prefetchThreshold of what is asked in advance is the level at which a purse asks again.
	prefetchThreshold = 0.5
)

type heldGrant struct {
	id      string
	part    int
	tokens  int
	expires time.Time
}

// TokenCache spends granted tokens on one VM.
type TokenCache struct {
	grants []heldGrant
	demand float64
	at     time.Time
}

// Take spends a token and tells whether there was one.
func (p *TokenCache) Take(now time.Time) bool {
	p.recordDemand(now)
	return p.spend(now)
}

// spend takes a token for a request whose demand was noted before.
func (p *TokenCache) spend(now time.Time) bool {
	for i := range p.grants {
		if p.grants[i].tokens > 0 && now.Before(p.grants[i].expires) {
			p.grants[i].tokens--
			return true
		}
	}
	return false
}

// Receive spends up to waiting tokens of a grant at once and keeps the rest; sentAt is when the grant was asked for.
// A grant that arrives after its life is worth nothing.
func (p *TokenCache) Receive(now, sentAt time.Time, grant Grant, waiting int) int {
	expires := sentAt.Add(grant.TTL)
	if !now.Before(expires) {
		return 0
	}
	spent := min(waiting, grant.Tokens)
	if rest := grant.Tokens - spent; rest > 0 {
		p.grants = append(p.grants, heldGrant{id: grant.ID, part: grant.Part, tokens: rest, expires: expires})
	}
	return spent
}

// Wanted returns how many tokens to ask for while requests wait; zero means none.
func (p *TokenCache) Wanted(now time.Time, waiting int) int {
	p.decay(now)
	ahead := p.demand / demandWindow.Seconds() * prefetchTime.Seconds()
	have := float64(p.Tokens(now))
	if waiting == 0 && have >= ahead*prefetchThreshold {
		return 0
	}
	return max(waiting, int(float64(waiting)+ahead-have))
}

// Tokens returns how many tokens can be spent now.
func (p *TokenCache) Tokens(now time.Time) int {
	total := 0
	for _, grant := range p.grants {
		if now.Before(grant.expires) {
			total += grant.tokens
		}
	}
	return total
}

// TakeUnspent drops the grants that are used up and returns the unspent tokens of one grant of a part that is not needed any more.
func (p *TokenCache) TakeUnspent(now time.Time, part int) (id string, tokens int) {
	p.grants = slices.DeleteFunc(p.grants, func(grant heldGrant) bool {
		return grant.tokens == 0 || !now.Before(grant.expires)
	})
	if p.demand >= 1 {
		return "", 0
	}
	for i, grant := range p.grants {
		if grant.part == part {
			p.grants = slices.Delete(p.grants, i, i+1)
			return grant.id, grant.tokens
		}
	}
	return "", 0
}

func (p *TokenCache) recordDemand(now time.Time) {
	p.decay(now)
	p.demand++
}

func (p *TokenCache) decay(now time.Time) {
	if p.at.IsZero() {
		p.at = now
		return
	}
	elapsed := now.Sub(p.at)
	if elapsed <= 0 {
		return
	}
	keep := 1 - min(1, elapsed.Seconds()/demandWindow.Seconds())
	p.demand *= keep
	p.at = now
}
