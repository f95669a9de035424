package node

import (
	"context"
	"net"
	"time"

	"github.com/crocusshore/crocusshore/memory"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/platform"
	"github.com/crocusshore/crocusshore/retry"
)

const (
	// limitsInterval is the interval at which refusals for limits are logged, in one line for each kind, and the metrics of limits are set.
	limitsInterval = time.Second
	// refusalTimeout bounds the write of a refusal, which fits into the send buffer of a connection that has just been accepted.
	refusalTimeout = 10 * time.Millisecond
	// refusalRetryAfter is the retry time of a connection that was refused because there are too many.
	refusalRetryAfter = time.Second
)

// gates are the limits on the connections to the listeners.
type gates struct {
	callers, streams, peers, ready, metrics *memory.Gate
}

func newGates(limits memory.Limits, counts *memory.Counts) gates {
	return gates{
		callers: memory.NewGate(limits.Callers, counts), streams: memory.NewGate(limits.Streams, counts), peers: memory.NewGate(limits.Peers, counts),
		ready: memory.NewGate(limits.Probes, counts), metrics: memory.NewGate(limits.Probes, counts),
	}
}

// newCallerEntrance returns the entrance through which callers connect.
func (n *Node) newCallerEntrance(listener net.Listener) *entrance {
	return newEntrance(entranceConfig{listener: listener, gate: n.gates.callers, counts: n.counts, refuse: refuseCaller, log: n.config.Log})
}

// openSession counts a caller's session and returns what serves it.
func (n *Node) openSession(conn net.Conn, visit *memory.Visit) (serve func()) {
	account := n.budget.OpenCaller()
	limits := platform.CallerLimits{Room: account.Request(), Counts: n.counts}
	return n.server.OpenLimited(platform.NewLimitedCallerConn(conn, limits), account, visit)
}

// refuseCaller tells a caller that there are too many connections.
func refuseCaller(conn net.Conn) {
	if conn.SetWriteDeadline(time.Now().Add(refusalTimeout)) != nil {
		return
	}
	_ = platform.NewCallerConn(conn).Reject(model.FaultBusy, platform.RetryDetail("too many connections", refusalRetryAfter)) // It closes in any case.
}

// reportLimits logs and measures what was refused because of limits, until the context ends.
func (n *Node) reportLimits(ctx context.Context) {
	for retry.Sleep(ctx, limitsInterval) {
		n.reportRefusals()
		n.measureLimits()
	}
}

func (n *Node) reportRefusals() {
	for _, c := range n.counts.Take() {
		n.config.Scope.Tagged(map[string]string{"kind": c.Kind.String()}).Counter("limit_refusals").Inc(c.Times)
		n.config.Log.Warn("limit reached", "kind", c.Kind, "count", c.Times)
	}
}

func (n *Node) measureLimits() {
	for use, bytes := range n.budget.Used() {
		n.config.Scope.Tagged(map[string]string{"use": string(use)}).Gauge("memory_used").Update(float64(bytes))
	}
	for listener, gate := range map[string]*memory.Gate{
		"callers": n.gates.callers, "streams": n.gates.streams, "peers": n.gates.peers, "ready": n.gates.ready, "metrics": n.gates.metrics,
	} {
		n.config.Scope.Tagged(map[string]string{"listener": listener}).Gauge("connections_open").Update(float64(gate.Open()))
	}
}
