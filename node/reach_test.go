package node

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/platform"
	"github.com/crocusshore/crocusshore/stand"
)

func (s *site) isReady(node int) bool {
	response, err := http.Get("http://" + s.nodes[node].config.Settings.Ready.String() + platform.PathReady)
	require.NoError(s.t, err)
	require.NoError(s.t, response.Body.Close())
	return response.StatusCode == http.StatusOK
}

// TestIsolatedVMSendsItsCallersToOtherVMs guards against VMs in rotation that reject all requests: the VMs of a failure domain that was
// isolated from the store and the instances stayed ready.
func TestIsolatedVMSendsItsCallersToOtherVMs(t *testing.T) {
	s := newSite(t, 2)
	idle, err := s.dial(0, "quote", "key-1")
	require.NoError(t, err)
	idle.must(t, "READ item")
	s.rows.SetFaults(stand.RowsFaults{Unavailable: true})
	for _, name := range []string{"i-1", "i-2", "i-3"} {
		s.cluster.SetFaults(model.InstanceName(name), stand.DatabaseFaults{Unresponsive: true})
	}
	require.Eventually(t, func() bool { return !s.isReady(0) && !s.isReady(1) }, 2500*time.Millisecond, 20*time.Millisecond)
	require.NoError(t, idle.conn.SetReadDeadline(time.Now().Add(balancerLag+time.Second)))
	_, err = idle.in.ReadByte()
	require.ErrorIs(t, err, io.EOF, "an idle session ends once the load balancer sends its caller to other VMs")
	s.rows.SetFaults(stand.RowsFaults{})
	for _, name := range []string{"i-1", "i-2", "i-3"} {
		s.cluster.SetFaults(model.InstanceName(name), stand.DatabaseFaults{})
	}
	require.Eventually(t, func() bool { return s.isReady(0) && s.isReady(1) }, 3*time.Second, 20*time.Millisecond)
	require.Eventually(t, func() bool { return s.serves(0) && s.serves(1) }, 3*time.Second, 20*time.Millisecond)
}

// TestVMStaysInRotationWhileOnlyTheStoreIsUnreachable guards against VMs that leave the rotation although other VMs would serve no better.
func TestVMStaysInRotationWhileOnlyTheStoreIsUnreachable(t *testing.T) {
	s := newSite(t, 2)
	s.rows.SetFaults(stand.RowsFaults{Unavailable: true})
	for start := time.Now(); time.Since(start) < 4*time.Second; time.Sleep(50 * time.Millisecond) {
		require.True(t, s.isReady(0) && s.isReady(1), "after %s", time.Since(start))
	}
}
