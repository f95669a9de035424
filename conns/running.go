package conns

import (
	"time"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/tree"
	"github.com/crocusshore/crocusshore/window"
)

type (
	// statementKind distinguishes statements that usually take different times.
	statementKind struct {
		class   tree.Class
		commits bool
	}

	// running counts and limits the statements of this VM that run at one instance, from the grant of a connection to the answer. A transaction that
	// waits for its caller does not count.
	running struct {
		statements int
		// window limits the statements; it is nil if they are not limited.
		window *window.Window
		// term is the newest term in which the instance was used as the primary, and startedAt its start as last registered.
		term      model.Term
		startedAt time.Time
		// warmUp is the remaining warm-up time that the instance last registered, and coldUntil when it ends.
		warmUp    time.Duration
		coldUntil time.Time
		// rate limits the statements while the instance is cold; it is nil without a limit. excluded is set if this VM must send nothing then.
		rate     *window.Rate
		excluded bool
		// logged is the size of the window in the last log line.
		logged int
	}
)

// observeStart reports whether the instance was started anew since it was last used.
func (r *running) observeStart(instance model.Instance) bool {
	return !r.startedAt.IsZero() && !r.startedAt.Equal(instance.StartedAt)
}

// observeTerm records the term in which the instance is used as the primary, and reports whether it was promoted since it was last used as such.
func (r *running) observeTerm(term model.Term) bool {
	if term == 0 || term == r.term {
		return false
	}
	promoted := r.term != 0 || term > 1
	r.term = term
	return promoted
}

// observeWarmUp records until when the instance is cold, and reports whether that has changed to a later instant.
func (r *running) observeWarmUp(now time.Time, instance model.Instance) bool {
	if instance.WarmUpLeft == r.warmUp && instance.StartedAt.Equal(r.startedAt) {
		return false
	}
	r.warmUp, r.coldUntil = instance.WarmUpLeft, now.Add(instance.WarmUpLeft)
	return instance.WarmUpLeft > 0
}

func (r *running) isCold(now time.Time) bool { return now.Before(r.coldUntil) }

// closed reports whether this VM must send nothing to the instance now.
func (r *running) closed(now time.Time) bool { return r.excluded && r.isCold(now) }

// hasRoom reports whether one more statement may run now.
func (r *running) hasRoom(now time.Time) bool {
	if r.window != nil && r.statements >= r.window.Limit() {
		return false
	}
	return r.rate == nil || !r.isCold(now) || r.rate.Allows(now)
}

// allowedAt returns from when the rate allows a statement, or the zero time.
func (r *running) allowedAt() time.Time {
	if r.rate == nil {
		return time.Time{}
	}
	return clock.Earlier(r.rate.Next(), r.coldUntil)
}

// limit returns how many statements may run at once with a number of connections.
func (r *running) limit(connections int) int {
	if r.window == nil {
		return connections
	}
	return min(connections, r.window.Limit())
}

// count counts a grant, unless it is for a status request or an administrative statement.
func (r *running) count(now time.Time, request Request, g grant) grant {
	if request.AnyTeam {
		return g
	}
	g.counted = true
	r.add(now)
	return g
}

// add counts a statement and returns how long it has to wait for the rate of a cold instance.
func (r *running) add(now time.Time) time.Duration {
	r.statements++
	if r.rate == nil || !r.isCold(now) {
		return 0
	}
	at := clock.Later(now, r.rate.Next())
	r.rate.Sent(at)
	return at.Sub(now)
}

// giveBack ends the count of a grant that was not used.
func (r *running) giveBack(g grant) {
	if g.counted {
		r.statements--
	}
}

// finish ends the count of a connection.
func (r *running) finish(c *Conn) {
	if c.counted {
		r.statements--
		c.counted = false
	}
}
