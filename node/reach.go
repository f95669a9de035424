package node

import (
	"context"
	"time"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/reach"
	"github.com/crocusshore/crocusshore/retry"
)

// reachPause is how often the VM judges whether it is in touch with the fleet.
const reachPause = 100 * time.Millisecond

// watchReach takes the VM out of rotation while it is cut off, and sends idle sessions away once the balancer has noticed.
func (n *Node) watchReach(ctx context.Context) {
	var judge reach.Judge
	var since time.Time
	for retry.Sleep(ctx, reachPause) {
		now := clock.Now()
		signs := n.signs(now)
		cut := judge.CutOff(now, signs)
		if cut != n.cutOff.Swap(cut) {
			since = now
			n.config.Log.Warn("reach of this VM", "cut-off", cut, "table-age", signs.TableAge, "sample-ages", signs.SampleAges, "sessions", n.server.Callers())
		}
		n.server.Move(cut && now.Sub(since) >= rotationTime)
	}
}

// signs collects what tells whether the VM is in touch with the fleet.
func (n *Node) signs(now time.Time) reach.Signs {
	signs := reach.Signs{TableAge: now.Sub(n.world.ProvenAt())}
	p := n.world.State().Policy
	if p == nil {
		return signs
	}
	for group := range p.ReplicaAges() {
		if last, known := n.samples.Last(group); known {
			signs.SampleAges = append(signs.SampleAges, now.Sub(last.At))
		}
	}
	return signs
}
