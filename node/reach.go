package node

import (
	"context"
	"time"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/reach"
	"github.com/crocusshore/crocusshore/retry"
)

// reachabilityInterval is the interval at which the VM checks whether it is isolated.
const reachabilityInterval = 100 * time.Millisecond

// monitorReachability takes the VM out of rotation while it is isolated. Once the load balancer has noticed, it ends idle sessions.
func (n *Node) monitorReachability(ctx context.Context) {
	var detector reach.IsolationDetector
	var since time.Time
	for retry.Sleep(ctx, reachabilityInterval) {
		now := clock.Now()
		inputs := n.isolationInputs(now)
		isolated := detector.Isolated(now, inputs)
		if isolated != n.isolated.Swap(isolated) {
			since = now
			n.config.Log.Warn("connectivity of this VM changed", "isolated", isolated, "table-age", inputs.TableAge,
				"sample-ages", inputs.PositionAges, "sessions", n.server.SessionCount())
		}
		n.server.SetShedding(isolated && now.Sub(since) >= balancerLag)
	}
}

// isolationInputs collects the ages of the data that show whether the VM is isolated.
func (n *Node) isolationInputs(now time.Time) reach.Inputs {
	inputs := reach.Inputs{TableAge: now.Sub(n.cache.TableCurrentAt())}
	p := n.cache.Snapshot().Policy
	if p == nil {
		return inputs
	}
	for group := range p.ReplicaMaxAges() {
		if last, known := n.samples.Last(group); known {
			inputs.PositionAges = append(inputs.PositionAges, now.Sub(last.At))
		}
	}
	return inputs
}
