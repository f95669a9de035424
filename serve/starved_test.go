package serve

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/conns"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/platform"
)

// recoveringSource provides connections to replicas, and none to the replica b until a time.
type recoveringSource struct {
	*replicaSource
	until time.Time
}

func (s recoveringSource) Get(now time.Time, request conns.Request) (model.PooledConn, error) {
	if request.Instance.Name == "b" && clock.Now().Before(s.until) {
		return s.replicaSource.Get(now, request)
	}
	return &openConn{replicaConn{source: s.replicaSource, name: request.Instance.Name}}, nil
}

// openConn leaves the transaction open in its answers to reads in one.
type openConn struct{ replicaConn }

func (c *openConn) Run(deadline time.Time, q model.Query) (model.Reply, error) {
	reply, err := c.replicaConn.Run(deadline, q)
	if reply.Fault == "" && q.Since == (model.Mark{}) {
		reply.State = model.TxOpen
	}
	return reply, err
}

// TestReadIsServedOnceAFailingReplicaRecoversBesideALaggingOne guards against a read that asks a lagging replica in each of its pauses and never tries
// again the other replica, which failed at first, has recovered and has what the read requires.
func TestReadIsServedOnceAFailingReplicaRecoversBesideALaggingOne(t *testing.T) {
	const failing, timeout = 300 * time.Millisecond, 4 * time.Second
	for name, command := range map[string]model.Command{"single": {Kind: model.CommandRead, Text: "item"}, "transaction": {Kind: model.CommandBegin, ReadOnly: true}} {
		t.Run(name, func(t *testing.T) {
			source := recoveringSource{replicaSource: newReplicaSource("b"), until: clock.Now().Add(failing)}
			source.catchUp("b")
			c := newReplicaSessions(1, source, timeout)[0]
			c.server.config.Formatter = platform.StatementFormatter{}
			start := clock.Now()
			var reply model.Reply
			if command.Kind == model.CommandBegin {
				reply, _ = c.begin(command)
				require.Empty(t, reply.Fault)
				reply = c.runInTransaction(model.Command{Kind: model.CommandRead, Text: "item"})
			} else {
				reply, _ = c.runSingle(command)
			}
			took := clock.Now().Sub(start)
			require.Empty(t, reply.Fault, "after %s, arrivals %v: %s", took, source.arrived, reply.Detail)
			require.Less(t, took, timeout/2, "arrivals %v", source.arrived)
		})
	}
}
