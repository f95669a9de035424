package conns

import "time"

// canGrant tells whether a request could be granted something.
func (b *bucket) canGrant(now time.Time, budget int) bool {
	return len(b.idle) > 0 || (b.open < budget && !now.Before(b.pausedUntil))
}

// take grants an idle connection of the team, best one with the same session values, or the permission to open one.
func (b *bucket) take(now time.Time, request Request, budget int) (grant, bool) {
	for {
		at := b.bestIdle(request)
		if at < 0 {
			break
		}
		c := b.remove(at)
		if c.link.Idle() {
			return grant{conn: c}, true
		}
		c.link.Close()
		b.open--
	}
	if b.open < budget && !now.Before(b.pausedUntil) {
		b.open++
		return grant{}, true
	}
	// Also while an instance takes no more connections, one can take the place of another.
	if len(b.idle) == 0 {
		return grant{}, false
	}
	return grant{evict: b.remove(b.leastRecentlyUsed())}, true
}

// bestIdle returns the place of the idle connection that fits best, or -1.
func (b *bucket) bestIdle(request Request) int {
	found := -1
	for at := len(b.idle) - 1; at >= 0; at-- {
		c := b.idle[at]
		if c.Team != request.Team && !request.AnyTeam {
			continue
		}
		if c.Matches(request.Values) || request.AnyTeam {
			return at
		}
		if found < 0 {
			found = at
		}
	}
	return found
}

func (b *bucket) leastRecentlyUsed() int {
	oldest := 0
	for at, c := range b.idle {
		if c.usedAt.Before(b.idle[oldest].usedAt) {
			oldest = at
		}
	}
	return oldest
}

func (b *bucket) remove(at int) *Conn {
	c := b.idle[at]
	b.idle = append(b.idle[:at], b.idle[at+1:]...)
	return c
}
