package node

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/stand"
)

// TestNodeThatIsLateEndsWithinItsGracePeriod guards against SIGKILL before the row of the VM is removed: the last waits together were longer than
// the time that was left.
func TestNodeThatIsLateEndsWithinItsGracePeriod(t *testing.T) {
	const grace = 3 * time.Second
	s := newSite(t, 2)
	s.setGrace(0, grace)
	in := s.newEntrance(t, 0)
	go in.acceptEach(s.nodes[0].openSession)
	s.rows.SetFaults(stand.RowsFaults{Latency: time.Second})
	started := time.Now()
	stopped := s.stopNodeWith(t, 0, in)
	time.Sleep(time.Second)
	silent, err := net.Dial("tcp", in.listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = silent.Close() }()
	<-stopped.reached
	t.Logf("ended after %s", time.Since(started))
	require.Less(t, time.Since(started), grace)
}
