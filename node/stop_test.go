package node

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/state"
)

// TestStoppingNodeServesToTheEndAndLeavesNoRow guards against two faults: a stopping node removed its row first, so that it lost its lease,
// and then registered again, so that the next replacement of a primary waited for a VM that had ended.
func TestStoppingNodeServesToTheEndAndLeavesNoRow(t *testing.T) {
	s := newSite(t, 2)
	c, err := s.dial(0, "revise", "key-1")
	require.NoError(t, err)
	c.must(t, "BEGIN")
	c.must(t, "WRITE item a")
	idle, err := s.dial(0, "revise", "key-1")
	require.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	stopped := make(chan struct{})
	go func() {
		s.nodes[0].shutdown(t.Context(), listener)
		close(stopped)
	}()
	require.Eventually(t, func() bool {
		_, _, _, err := idle.ask("READ item")
		return err != nil
	}, time.Second, 150*time.Millisecond, "an idle session is closed")
	time.Sleep(700 * time.Millisecond)
	c.must(t, "WRITE item b")
	c.must(t, "COMMIT")
	require.True(t, s.serves(0), "callers that the load balancer still sends are served")
	require.False(t, s.nodes[0].ready())
	select {
	case <-stopped:
	case <-time.After(4 * time.Second):
		t.Fatal("the node does not end")
	}
	time.Sleep(registrationWait)
	require.Zero(t, s.rows.Row(state.Table, "vm/vm-0").Version)
	require.NotZero(t, s.rows.Row(state.Table, "vm/vm-1").Version)
	require.Contains(t, s.nodes[1].cache.Snapshot().VMs, model.VMID("vm-1"))
}

// registrationWait is longer than the interval after which a node that is not stopping registers again.
const registrationWait = 700 * time.Millisecond
