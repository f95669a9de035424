package conns

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/window"
)

// prepare applies the settings and the registration of an instance before a request for a connection; the caller holds the lock.
func (p *Pool) prepare(now time.Time, b *bucket, request Request) {
	r := &b.running
	switch limited := p.config.Limited != nil && p.config.Limited(b.instance); {
	case !limited:
		r.window = nil
	case r.window == nil:
		r.window = window.New(b.instance.Slots)
		r.logged = r.window.Limit()
	}
	restarted := r.observeStart(b.instance) || r.observeTerm(request.Term)
	if r.observeWarmUp(now, b.instance) && p.config.ColdRate != nil {
		rate, ok := p.config.ColdRate(b.instance)
		r.rate, r.excluded = rate, !ok
	}
	if r.window != nil && (restarted || (r.startedAt.IsZero() && r.isCold(now))) {
		r.window.Restart()
		p.logWindow(b)
	}
	r.startedAt = b.instance.StartedAt
}

// recordWindow records what an answer shows of the queue of an instance; the caller holds the lock.
func (p *Pool) recordWindow(now time.Time, b *bucket, c *Conn, q model.Query, reply model.Reply) {
	w := b.running.window
	if w == nil {
		return
	}
	switch {
	case reply.Fault == model.FaultBusy:
		w.Full()
	case reply.Fault == "" && q.Work:
		baseline := p.baseline(statementKind{class: c.class, commits: q.Commits})
		baseline.Record(now, reply.Took)
		w.Answered(reply.Took, baseline.Usual())
	}
	p.logWindow(b)
}

func (p *Pool) baseline(kind statementKind) *window.Baseline {
	found := p.baselines[kind]
	if found == nil {
		found = &window.Baseline{}
		p.baselines[kind] = found
	}
	return found
}

// recordFailure records that an instance could not be reached or did not answer; the caller holds the lock.
func (p *Pool) recordFailure(b *bucket) {
	if b.running.window != nil {
		b.running.window.Failed()
		p.logWindow(b)
	}
}

// logWindow logs and measures a window that has at least halved or doubled since the last log line; the caller holds the lock.
func (p *Pool) logWindow(b *bucket) {
	r := &b.running
	limit := r.window.Limit()
	if limit == r.logged || (limit*2 > r.logged && limit < 2*r.logged) {
		return
	}
	p.config.Log.Info("window changed", "instance", b.instance.Name, "limit", limit, "before", r.logged, "starting", r.window.Starting(),
		"running", r.statements, "waiting", b.waiting.Len())
	p.config.Metrics.Tagged(map[string]string{"instance": string(b.instance.Name)}).Gauge("window").Update(float64(limit))
	r.logged = limit
}
