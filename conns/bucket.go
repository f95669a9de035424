package conns

import (
	"time"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/queue"
)

const (
	// smoothing is the weight of one sample in a moving average.
	smoothing = 0.1
	// maxOutlier bounds the effect of a single sample, such as that of a statement that stalled, as a multiple of the average.
	maxOutlier = 4
)

// bucket holds the connections to one instance.
type bucket struct {
	instance model.Instance
	idle     []*Conn
	// open counts connections that are idle, in use or being opened.
	open        int
	waiting     *queue.Queue[*waiter]
	pausedUntil time.Time
	// usualHold is the moving average of the time for which statements and transactions hold a connection; it is 0 if unknown.
	usualHold time.Duration
	// usualWork is the moving average of the time that the instance takes for a statement; it is 0 if unknown.
	usualWork time.Duration
	pace      pace
	// wakesUp is set while a timer will grant what the pace allows by then.
	wakesUp bool
	// running counts and limits the statements that run at the instance.
	running running
}

// recordMean adds a sample to a moving average, which is 0 before the first one.
func recordMean(mean *time.Duration, sample time.Duration) {
	if *mean == 0 {
		*mean = sample
	}
	*mean += time.Duration(smoothing * float64(min(sample, maxOutlier**mean)-*mean))
}

// recordHold records for how long a connection was held, unless it was for a status request.
func (b *bucket) recordHold(now time.Time, c *Conn) {
	if c.takenAt.IsZero() {
		return
	}
	recordMean(&b.usualHold, now.Sub(c.takenAt))
}

// capacity returns how fast waiting requests get connections and may send on them.
func (b *bucket) capacity(budget int) queue.Capacity {
	perConnection := b.usualHold / time.Duration(max(1, b.running.limit(budget)))
	return queue.Capacity{Service: max(perConnection, b.pace.interval), Slots: 1}
}

// admits reports whether a new request may be served before the waiting ones, if there is a connection for it.
func (b *bucket) admits(now time.Time, request Request) bool {
	switch {
	case request.AnyTeam:
		return true
	case !b.running.hasRoom(now):
		return false
	case b.pace.interval == 0:
		return true
	default:
		return b.waiting.Len() == 0 && b.pace.allows(now)
	}
}

// allowedAt returns from when a statement may be sent, if there is a connection for it or one may be opened.
func (b *bucket) allowedAt() time.Time {
	at := clock.Later(b.pace.notBefore, b.running.allowedAt())
	if len(b.idle) == 0 {
		at = clock.Later(at, b.pausedUntil)
	}
	return at
}

// refuseLate ends the waits of the requests that get no connection in time any more.
func (b *bucket) refuseLate(now time.Time, budget int) {
	for _, refused := range b.waiting.Refuse(now, b.capacity(budget)) {
		refused.Entry.Value.decided <- decision{refused: true, retryAfter: refused.RetryAfter}
	}
}

// canGrant reports whether a request could be granted a connection or the permission to open one.
func (b *bucket) canGrant(now time.Time, budget int) bool {
	return len(b.idle) > 0 || (b.open < budget && !now.Before(b.pausedUntil))
}

// take grants an idle connection of the team, preferably one with the same session values, or the permission to open one. It reports
// whether it granted anything.
func (b *bucket) take(now time.Time, request Request, budget int) (grant, bool) {
	for !request.New {
		at := b.bestIdle(request)
		if at < 0 {
			break
		}
		c := b.remove(at)
		if c.instanceConn.Idle() {
			return b.granted(now, request, grant{conn: c}), true
		}
		c.instanceConn.Close()
		b.open--
	}
	if b.open < budget && !now.Before(b.pausedUntil) {
		b.open++
		return b.granted(now, request, grant{}), true
	}
	// Even while an instance takes no more connections, a new connection can replace an idle one.
	if len(b.idle) == 0 {
		return grant{}, false
	}
	return b.granted(now, request, grant{evict: b.remove(b.leastRecentlyUsed())}), true
}

// granted counts a grant toward the pace and the statements that run.
func (b *bucket) granted(now time.Time, request Request, g grant) grant {
	b.pace.granted(now)
	return b.running.count(now, request, g)
}

// bestIdle returns the index of the idle connection that fits the request best, or -1: one of the team with the same session values, any other of
// the team or, if the request accepts that, of another team.
func (b *bucket) bestIdle(request Request) int {
	found, other := -1, -1
	for at := len(b.idle) - 1; at >= 0; at-- {
		c := b.idle[at]
		switch {
		case c.Team != request.Team:
			other = max(other, at)
		case c.Matches(request.Values) || request.AnyTeam:
			return at
		default:
			found = max(found, at)
		}
	}
	if found < 0 && request.AnyTeam {
		return other
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
