package node

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSilentConnectionDoesNotHoldUpACalmStop guards against a stop that lasts until the process must end because a connection came on which
// nobody sends a first message.
func TestSilentConnectionDoesNotHoldUpACalmStop(t *testing.T) {
	s := newSite(t, 2)
	s.setGrace(0, 10*time.Second)
	in := s.newEntrance(t, 0)
	go in.acceptEach(s.nodes[0].openSession)
	silent, err := net.Dial("tcp", in.listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = silent.Close() }()
	time.Sleep(50 * time.Millisecond)
	started := time.Now()
	<-s.stopNodeWith(t, 0, in).reached
	t.Logf("ended after %s", time.Since(started))
	require.Less(t, time.Since(started), balancerLag+time.Second)
}
