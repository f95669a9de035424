package peers

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/charmbracelet/log"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/retry"
	"github.com/crocusshore/crocusshore/watch"
	"github.com/crocusshore/crocusshore/world"
)

const (
	// relayPause is how often a VM whose store is out of reach asks a peer.
	relayPause = 400 * time.Millisecond
	// relayTimeout bounds one question.
	relayTimeout = 500 * time.Millisecond
)

// Relay reads the tables from peers while the store is out of reach.
type Relay struct {
	Self     model.VMID
	Domain   model.Domain
	Seeds    []netip.AddrPort
	World    *world.World
	Follower *watch.Follower
	Client   *Client
	Log      *log.Logger
}

// Run asks one peer after another until the context ends.
func (r *Relay) Run(ctx context.Context) {
	for turn := 0; retry.Sleep(ctx, relayPause); turn++ {
		if !r.Follower.Away() {
			continue
		}
		peers := r.peers()
		if len(peers) == 0 {
			continue
		}
		r.ask(ctx, peers[turn%len(peers)])
	}
}

// peers returns whom to ask: VMs of the own failure domain first in a random order, and the seeds while no VM is known.
func (r *Relay) peers() []netip.AddrPort {
	var near, far []netip.AddrPort
	for _, vm := range r.World.State().Others(r.Self) {
		if vm.Domain == r.Domain {
			near = append(near, vm.Peers)
		} else {
			far = append(far, vm.Peers)
		}
	}
	rand.Shuffle(len(near), func(a, b int) { near[a], near[b] = near[b], near[a] })
	rand.Shuffle(len(far), func(a, b int) { far[a], far[b] = far[b], far[a] })
	// Every second question goes far, since the own failure domain may be cut off as a whole.
	peers := interleave(near, far)
	if len(peers) == 0 {
		return r.Seeds
	}
	return peers
}

func interleave(a, b []netip.AddrPort) []netip.AddrPort {
	var mixed []netip.AddrPort
	for i := range max(len(a), len(b)) {
		if i < len(a) {
			mixed = append(mixed, a[i])
		}
		if i < len(b) {
			mixed = append(mixed, b[i])
		}
	}
	return mixed
}

func (r *Relay) ask(ctx context.Context, peer netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	sentAt := clock.Now()
	reply, err := r.Client.Copies(ctx, peer, CopiesRequest{Versions: r.Follower.Versions()})
	if err != nil {
		r.Log.Debug("peer did not answer", "peer", peer, "error", err)
		return
	}
	for _, c := range reply.Copies {
		page := model.RowsPage{Rows: c.Rows, Version: c.Version}
		r.Follower.Ingest(c.Table, page, c.Whole, sentAt.Add(-c.Age))
	}
}
