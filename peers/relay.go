package peers

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/charmbracelet/log"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/fleet"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/place"
	"github.com/crocusshore/crocusshore/retry"
	"github.com/crocusshore/crocusshore/sample"
	"github.com/crocusshore/crocusshore/watch"
	"github.com/crocusshore/crocusshore/world"
)

const (
	// relayPollWait is how long a reader may hold an answer back while nothing changes.
	relayPollWait = 400 * time.Millisecond
	// relayTimeout bounds a question beyond the wait.
	relayTimeout = 400 * time.Millisecond
	// relayPause is the pause after a question that was not answered, and between questions that are not held back.
	relayPause = 300 * time.Millisecond
	// maxRelayedAge is how old the copies may get before VMs of other failure domains are asked too.
	maxRelayedAge = 1400 * time.Millisecond
	// maxClockDrift is how much faster than ours a peer's clock may run.
	maxClockDrift = 0.002
	// readerSkipTime is how long a reader that did not keep the copies current is passed over.
	readerSkipTime = 10 * time.Second
)

// Relay gets the tables of the store from another VM: all the time from the reader of the own failure domain, and from any VM
// while neither the reader nor the store is in reach.
type Relay struct {
	Self   model.VMID
	Domain model.Domain
	// Seeds returns peer addresses for a VM that knows no other.
	Seeds   func() []netip.AddrPort
	World   *world.Cache
	Watcher *watch.Watcher
	Samples *sample.Samples
	Tracker *place.Tracker
	Client  *Client
	Log     *log.Logger

	role watch.Role
	// skipped counts the VMs that rank before the reader and did not keep the copies current since passedAt.
	skipped   int
	skippedAt time.Time
}

// Run asks until the context ends.
func (r *Relay) Run(ctx context.Context) {
	r.role = watch.RoleReader
	for turn := 0; ctx.Err() == nil; turn++ {
		now := clock.Now()
		reader, duty := r.reader(now)
		r.setRole(duty)
		ok := duty != watch.RoleReader
		switch {
		case ok && !r.isStale():
			if !r.fetch(ctx, reader.Peers, relayPollWait) {
				retry.Sleep(ctx, relayPause)
			}
		case r.Watcher.StoreUnreachable() || (ok && r.isStale()):
			r.skipReader(now, ok)
			r.fetchFromAnyPeer(ctx, turn)
			retry.Sleep(ctx, relayPause)
		default:
			retry.Sleep(ctx, relayPause)
		}
	}
}

// setRole notes which part this VM has in reading the store for its failure domain.
func (r *Relay) setRole(duty watch.Role) {
	if duty != r.role {
		r.role = duty
		r.Log.Info("reading of the store", "duty", duty, "passed", r.skipped)
	}
	r.Watcher.SetRole(duty)
}

// reader returns the VM that reads the store for this one, and this VM's own duty; a reader asks nobody.
func (r *Relay) reader(now time.Time) (world.VM, watch.Role) {
	if now.Sub(r.skippedAt) > readerSkipTime {
		r.skipped = 0
	}
	state := r.World.Snapshot()
	var near []model.VM
	for name, vm := range state.VMs {
		if vm.Domain == r.Domain {
			near = append(near, model.VM{ID: name})
		}
	}
	ranked := fleet.Rank("reader", near)
	rank, registered := fleet.Index(r.Self, ranked)
	if !registered {
		return world.VM{}, watch.RoleReader
	}
	at := r.skipped % len(ranked)
	return state.VMs[ranked[at].ID], watch.RoleAt(rank, at)
}

// skipReader goes on to the next VM where the reader, which the store may turn away, does not keep the copies current.
func (r *Relay) skipReader(now time.Time, relayed bool) {
	if relayed && now.Sub(r.skippedAt) > maxRelayedAge {
		r.skipped++
		r.skippedAt = now
		r.Log.Info("reader of the store passed over", "passed", r.skipped, "age", now.Sub(r.World.TableCurrentAt()).Round(time.Millisecond))
	}
}

// isStale tells whether the copies are so old that the reader cannot be relied on.
func (r *Relay) isStale() bool { return clock.Now().Sub(r.World.TableCurrentAt()) > maxRelayedAge }

// fetchFromAnyPeer asks one VM after another, of the own failure domain and of others in turn, and the seeds while no VM is known.
func (r *Relay) fetchFromAnyPeer(ctx context.Context, turn int) {
	peers := r.peers()
	if len(peers) > 0 {
		r.fetch(ctx, peers[turn%len(peers)], 0)
	}
}

func (r *Relay) peers() []netip.AddrPort {
	var near, far []netip.AddrPort
	for _, vm := range r.World.Snapshot().Others(r.Self) {
		if vm.Domain == r.Domain {
			near = append(near, vm.Peers)
		} else {
			far = append(far, vm.Peers)
		}
	}
	rand.Shuffle(len(near), func(a, b int) { near[a], near[b] = near[b], near[a] })
	rand.Shuffle(len(far), func(a, b int) { far[a], far[b] = far[b], far[a] })
	peers := interleave(near, far)
	if len(peers) == 0 {
		return r.Seeds()
	}
	return peers
}

// interleave takes from both lists in turn.
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

// fetch takes what a VM knows better.
func (r *Relay) fetch(ctx context.Context, peer netip.AddrPort, wait time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, wait+relayTimeout)
	defer cancel()
	sentAt := clock.Now()
	reply, err := r.Client.Tables(ctx, peer, TablesRequest{Versions: r.Watcher.Versions(), Wait: wait, Conditions: r.Tracker.Observed(sentAt)})
	if err != nil {
		r.Log.Debug("peer did not answer", "peer", peer, "error", err)
		return false
	}
	// The peer held the answer back after it got the question, so it was given no earlier than this.
	answeredAt := sentAt.Add(time.Duration(float64(reply.Waited) * (1 - maxClockDrift)))
	for _, c := range reply.Copies {
		page := model.RowsPage{Rows: c.Rows, Version: c.Version}
		r.Watcher.Apply(c.Table, page, c.Whole, answeredAt.Add(-c.Age))
	}
	for _, s := range reply.Samples {
		r.Samples.Add(s.Group, sample.Sample{At: answeredAt.Add(-s.Age), Mark: s.Mark})
	}
	for _, w := range reply.Witnessed {
		r.World.RecordTermCheck(w.Group, w.Term, answeredAt.Add(-w.Age))
	}
	for _, c := range reply.Conditions {
		if r.Tracker.RecordReported(answeredAt, c) {
			r.Log.Info("instance does worse than usual", "instance", c.Instance, "slowness", c.Slowness, "failing", c.Failing, "age", c.Age, "told-by", peer)
		}
	}
	return true
}
