package soak

import (
	"io"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
)

const (
	// firstOrderTimeout bounds the time until the first order for a new primary is sent, and lastOrderTimeout the time until the platform
	// holds none and the VMs serve again.
	firstOrderTimeout, lastOrderTimeout = 15 * time.Second, 40 * time.Second
)

// newLateOrderSite returns a site of real processes with one group.
func newLateOrderSite(t *testing.T) *site {
	t.Helper()
	s, err := newSite(Config{Program: buildDaemon(t), Dir: t.TempDir(), Seed: 1, VMs: 4, Groups: 1, Sessions: 1, Log: log.New(io.Discard)})
	t.Cleanup(s.close)
	require.NoError(t, err)
	require.True(t, s.await(t.Context(), startTimeout, s.probeAllVMs), "the VMs serve")
	return s
}

// failPrimary ends the primary of the only group for good.
func (s *site) failPrimary() {
	primary, _ := s.clusters[0].Primary()
	s.clusters[0].SetFaults(primary, stand.DatabaseFaults{Down: true})
}

// requireOrdered requires that the site serves again once the platform holds no order, and that no order broke fencing.
func (s *site) requireOrdered(t *testing.T) {
	t.Helper()
	require.True(t, s.await(t.Context(), lastOrderTimeout, func() bool {
		return len(s.orders.Held()) == 0 && len(s.orders.Records()) > 0 && s.probeAllVMs()
	}), "the VMs serve again")
	for _, record := range s.orders.Records() {
		t.Log(record.String())
	}
	require.Empty(t, s.orders.Violations())
	require.Empty(t, s.clusters[0].LostCommits())
}

// TestLateOrderComesUnderAnOlderToken guards against an order that the platform takes after its sender has given it up, and with it the
// coordinator lease: the next holder has ordered under a higher token by then.
func TestLateOrderComesUnderAnOlderToken(t *testing.T) {
	s := newLateOrderSite(t)
	s.orders.SetFaults(stand.OrderFaults{MinHold: maxHold, MaxHold: maxHold})
	s.failPrimary()
	require.True(t, s.await(t.Context(), firstOrderTimeout, func() bool { return len(s.orders.Held()) > 0 }), "an order is sent")
	s.orders.SetFaults(stand.OrderFaults{})
	s.requireOrdered(t)
}

// TestOrderInAQueueComesUnderAnOlderToken is the same with an order that waits on its way to the platform.
func TestOrderInAQueueComesUnderAnOlderToken(t *testing.T) {
	s := newLateOrderSite(t)
	stalled := LinkFaults{StallToTarget: true}
	for _, proxy := range s.orderProxies {
		proxy.Set(stalled)
	}
	s.failPrimary()
	waiting := func() bool { return s.waitingOrder() >= 0 }
	require.True(t, s.await(t.Context(), firstOrderTimeout, waiting), "an order is sent")
	sender := s.waitingOrder()
	for n, proxy := range s.orderProxies {
		if n != sender {
			proxy.Set(LinkFaults{})
		}
	}
	time.Sleep(maxHold)
	s.orderProxies[sender].Set(LinkFaults{})
	require.True(t, s.await(t.Context(), firstOrderTimeout, func() bool { return s.orderProxies[sender].open() == 0 }), "the order has arrived")
	time.Sleep(replicationWait)
	s.requireOrdered(t)
}

// open returns the number of open connections, of both ends together.
func (p *Proxy) open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// waitingOrder returns the VM with an open connection to the promotion service, or -1.
func (s *site) waitingOrder() int {
	for n, proxy := range s.orderProxies {
		if proxy.open() > 0 {
			return n
		}
	}
	return -1
}

// TestLateOrderOfAnEndedProcessComesUnderAnOlderToken is the same with a sender that is killed while the platform holds its order.
func TestLateOrderOfAnEndedProcessComesUnderAnOlderToken(t *testing.T) {
	s := newLateOrderSite(t)
	s.orders.SetFaults(stand.OrderFaults{MinHold: maxHold, MaxHold: maxHold})
	s.failPrimary()
	require.True(t, s.await(t.Context(), firstOrderTimeout, func() bool { return len(s.orders.Held()) > 0 }), "an order is sent")
	s.orders.SetFaults(stand.OrderFaults{})
	s.vmOf(s.orders.Held()[0].Holder).signal(syscall.SIGKILL, 0)
	s.requireOrdered(t)
}

func (s *site) vmOf(id model.VMID) *process {
	for _, vm := range s.vms {
		if vm.settings.VM == id {
			return vm
		}
	}
	return nil
}
