package conns

import "time"

// canGrant reports whether a request could be granted a connection or the permission to open one.
func (b *bucket) canGrant(now time.Time, budget int) bool {
	return len(b.idle) > 0 || (b.open < budget && !now.Before(b.pausedUntil))
}

// take grants an idle connection of the team, preferably one with the same session values, or the permission to open one. It reports
// whether it granted anything.
func (b *bucket) take(now time.Time, request Request, budget int) (grant, bool) {
	for {
		at := b.bestIdle(request)
		if at < 0 {
			break
		}
		c := b.remove(at)
		if c.instanceConn.Idle() {
			return grant{conn: c}, true
		}
		c.instanceConn.Close()
		b.open--
	}
	if b.open < budget && !now.Before(b.pausedUntil) {
		b.open++
		return grant{}, true
	}
	// Even while an instance takes no more connections, a new connection can replace an idle one.
	if len(b.idle) == 0 {
		return grant{}, false
	}
	return grant{evict: b.remove(b.leastRecentlyUsed())}, true
}

// bestIdle returns the index of the idle connection that fits the request best, or -1.
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

// leastRecentlyUsed returns the index of the idle connection that was used least recently.
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
