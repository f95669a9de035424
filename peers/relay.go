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
	// relayWait is how long a reader may hold an answer back while nothing changes.
	relayWait = 400 * time.Millisecond
	// relayTimeout bounds a question beyond the wait.
	relayTimeout = 400 * time.Millisecond
	// relayPause is the pause after a question that was not answered, and between questions that are not held back.
	relayPause = 300 * time.Millisecond
	// rescueAge is how old the copies may get before VMs of other failure domains are asked too.
	rescueAge = 1400 * time.Millisecond
	// driftShare is how much faster than ours a peer's clock may run.
	driftShare = 0.002
	// passTime is how long a reader that did not keep the copies current is passed over.
	passTime = 10 * time.Second
)

// Relay gets the tables of the store from another VM: all the time from the reader of the own failure domain, and from any VM
// while neither the reader nor the store is in reach.
type Relay struct {
	Self   model.VMID
	Domain model.Domain
	// Seeds returns peer addresses for a VM that knows no other.
	Seeds    func() []netip.AddrPort
	World    *world.World
	Follower *watch.Follower
	Samples  *sample.Samples
	Track    *place.Track
	Client   *Client
	Log      *log.Logger

	duty watch.Duty
	// passed counts the VMs that rank before the reader and did not keep the copies current since passedAt.
	passed   int
	passedAt time.Time
}

// Run asks until the context ends.
func (r *Relay) Run(ctx context.Context) {
	r.duty = watch.DutyReader
	for turn := 0; ctx.Err() == nil; turn++ {
		now := clock.Now()
		reader, duty := r.reader(now)
		r.setDuty(duty)
		ok := duty != watch.DutyReader
		switch {
		case ok && !r.stale():
			if !r.ask(ctx, reader.Peers, relayWait) {
				retry.Sleep(ctx, relayPause)
			}
		case r.Follower.Away() || (ok && r.stale()):
			r.pass(now, ok)
			r.rescue(ctx, turn)
			retry.Sleep(ctx, relayPause)
		default:
			retry.Sleep(ctx, relayPause)
		}
	}
}

// setDuty notes which part this VM has in reading the store for its failure domain.
func (r *Relay) setDuty(duty watch.Duty) {
	if duty != r.duty {
		r.duty = duty
		r.Log.Info("reading of the store", "duty", duty, "passed", r.passed)
	}
	r.Follower.SetDuty(duty)
}

// reader returns the VM that reads the store for this one, and this VM's own duty; a reader asks nobody.
func (r *Relay) reader(now time.Time) (world.VM, watch.Duty) {
	if now.Sub(r.passedAt) > passTime {
		r.passed = 0
	}
	state := r.World.State()
	var near []model.VM
	for name, vm := range state.VMs {
		if vm.Domain == r.Domain {
			near = append(near, model.VM{ID: name})
		}
	}
	ranked := fleet.Rank("reader", near)
	rank, registered := fleet.Index(r.Self, ranked)
	if !registered {
		return world.VM{}, watch.DutyReader
	}
	at := r.passed % len(ranked)
	return state.VMs[ranked[at].ID], watch.DutyAt(rank, at)
}

// pass goes on to the next VM where the reader, which the store may turn away, does not keep the copies current.
func (r *Relay) pass(now time.Time, relayed bool) {
	if relayed && now.Sub(r.passedAt) > rescueAge {
		r.passed++
		r.passedAt = now
		r.Log.Info("reader of the store passed over", "passed", r.passed, "age", now.Sub(r.World.ProvenAt()).Round(time.Millisecond))
	}
}

// stale tells whether the copies are so old that the reader cannot be relied on.
func (r *Relay) stale() bool { return clock.Now().Sub(r.World.ProvenAt()) > rescueAge }

// rescue asks one VM after another, of the own failure domain and of others in turn, and the seeds while no VM is known.
func (r *Relay) rescue(ctx context.Context, turn int) {
	peers := r.peers()
	if len(peers) > 0 {
		r.ask(ctx, peers[turn%len(peers)], 0)
	}
}

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

// ask takes what a VM knows better.
func (r *Relay) ask(ctx context.Context, peer netip.AddrPort, wait time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, wait+relayTimeout)
	defer cancel()
	sentAt := clock.Now()
	reply, err := r.Client.Copies(ctx, peer, CopiesRequest{Versions: r.Follower.Versions(), Wait: wait, Conditions: r.Track.Saw(sentAt)})
	if err != nil {
		r.Log.Debug("peer did not answer", "peer", peer, "error", err)
		return false
	}
	// The peer held the answer back after it got the question, so it was given no earlier than this.
	answeredAt := sentAt.Add(time.Duration(float64(reply.Waited) * (1 - driftShare)))
	for _, c := range reply.Copies {
		page := model.RowsPage{Rows: c.Rows, Version: c.Version}
		r.Follower.Ingest(c.Table, page, c.Whole, answeredAt.Add(-c.Age))
	}
	for _, s := range reply.Samples {
		r.Samples.Add(s.Group, sample.Sample{At: answeredAt.Add(-s.Age), Mark: s.Mark})
	}
	for _, w := range reply.Witnessed {
		r.World.Witness(w.Group, w.Term, answeredAt.Add(-w.Age))
	}
	for _, c := range reply.Conditions {
		if r.Track.Hear(answeredAt, c) {
			r.Log.Info("instance does worse than usual", "instance", c.Instance, "slowness", c.Slowness, "failing", c.Failing, "age", c.Age, "told-by", peer)
		}
	}
	return true
}
