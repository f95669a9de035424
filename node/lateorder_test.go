package node

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/platform"
	"github.com/crocusshore/crocusshore/stand"
)

// heldPromotions carries out the first orders late, also if their senders have closed the connection, and then answers them.
type heldPromotions struct {
	model.Promotions
	hold  time.Duration
	held  int64
	count atomic.Int64
}

func (p *heldPromotions) Promote(ctx context.Context, order model.PromoteOrder) error {
	if p.count.Add(1) <= p.held {
		time.Sleep(p.hold)
	}
	return p.Promotions.Promote(context.WithoutCancel(ctx), order)
}

// newSiteWithLateOrders returns a site whose platform takes the first orders late.
func newSiteWithLateOrders(t *testing.T, vms int, held int64, hold time.Duration) (*site, *heldPromotions) {
	t.Helper()
	late := &heldPromotions{hold: hold, held: held}
	server := httptest.NewServer(platform.NewStandInHandler(stand.NewRows().Client("none"), late))
	s := openSiteWith(t, siteConfig{
		vms: vms, connections: defaultSiteConnections, stepDownDelay: defaultStepDownDelay,
		promotions: platform.NewPromotions(netip.MustParseAddrPort(server.Listener.Addr().String())),
	})
	late.Promotions = s.cluster
	t.Cleanup(server.Close)
	return s, late
}

// TestLateOrderComesUnderNoOlderToken guards against an order that outlives the right of its sender: it was sent and not answered, the sender gave
// its lease up, another VM ordered under a higher token, and the platform took the first order after the second.
func TestLateOrderComesUnderNoOlderToken(t *testing.T) {
	const hold = 5 * time.Second
	s, late := newSiteWithLateOrders(t, 3, 1, hold)
	s.commit(t, 20)
	s.cluster.SetFaults("i-1", stand.DatabaseFaults{Down: true})
	require.Eventually(t, func() bool { return late.count.Load() > 0 }, 5*time.Second, 10*time.Millisecond, "an order is sent")
	for until := time.Now().Add(hold + time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		s.serves(0)
	}
	require.Eventually(t, func() bool { return s.serves(0) }, 8*time.Second, 20*time.Millisecond, "a replica took over")
	require.Empty(t, s.cluster.Violations())
}
