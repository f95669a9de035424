package node

import (
	"context"
	"time"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/reach"
	"github.com/crocusshore/crocusshore/watch"
)

// reachabilityInterval is the interval at which the VM checks whether it is isolated, and that of the rounds of probes.
const reachabilityInterval = reach.RoundInterval

// monitorReachability takes the VM out of rotation while it is isolated, as probes or the ages of its data show. Once the load balancer has
// noticed, it ends idle sessions.
func (n *Node) monitorReachability(ctx context.Context) {
	var detector reach.IsolationDetector
	var since time.Time
	for n.contact.await(ctx, reachabilityInterval) {
		now := clock.Now()
		inputs := n.isolationInputs(now)
		early := n.contact.round(now, n.watcher.Role() == watch.RoleReader)
		isolated := detector.Isolated(now, inputs) || early
		if isolated != n.isolated.Swap(isolated) {
			since = now
			n.config.Log.Warn("connectivity of this VM changed", "isolated", isolated, "by-probes", early, "table-age", inputs.TableAge,
				"sample-ages", inputs.PositionAges, "sessions", n.server.SessionCount())
		}
		n.contact.updateGauge(isolated)
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
