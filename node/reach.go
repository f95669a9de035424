package node

import (
	"context"
	"time"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/reach"
	"github.com/crocusshore/crocusshore/retry"
)

// reachabilityInterval is how often the VM judges whether it is in touch with the fleet.
const reachabilityInterval = 100 * time.Millisecond

// monitorReachability takes the VM out of rotation while it is cut off, and sends idle sessions away once the balancer has noticed.
func (n *Node) monitorReachability(ctx context.Context) {
	var judge reach.IsolationDetector
	var since time.Time
	for retry.Sleep(ctx, reachabilityInterval) {
		now := clock.Now()
		signs := n.reachSignals(now)
		cut := judge.Isolated(now, signs)
		if cut != n.isolated.Swap(cut) {
			since = now
			n.config.Log.Warn("reach of this VM", "cut-off", cut, "table-age", signs.TableAge, "sample-ages", signs.PositionAges, "sessions", n.server.SessionCount())
		}
		n.server.SetShedding(cut && now.Sub(since) >= balancerLag)
	}
}

// reachSignals collects what tells whether the VM is in touch with the fleet.
func (n *Node) reachSignals(now time.Time) reach.Inputs {
	signs := reach.Inputs{TableAge: now.Sub(n.world.TableCurrentAt())}
	p := n.world.Snapshot().Policy
	if p == nil {
		return signs
	}
	for group := range p.ReplicaMaxAges() {
		if last, known := n.samples.Last(group); known {
			signs.PositionAges = append(signs.PositionAges, now.Sub(last.At))
		}
	}
	return signs
}
