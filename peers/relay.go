package peers

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/charmbracelet/log"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/place"
	"github.com/crocusshore/crocusshore/retry"
	"github.com/crocusshore/crocusshore/sample"
	"github.com/crocusshore/crocusshore/state"
	"github.com/crocusshore/crocusshore/watch"
)

const (
	// relayPollWait bounds how long the reader may hold its answer back while nothing changes.
	relayPollWait = 400 * time.Millisecond
	// relayTimeout bounds a request beyond the time for which the answer may be held back.
	relayTimeout = 400 * time.Millisecond
	// relayPause is the pause after a request without an answer, and between requests whose answer is not held back.
	relayPause = 300 * time.Millisecond
	// roleCheckInterval is the interval at which a reader checks whether it still is one. It is shorter than the pause of the watcher after
	// the first read, so that a VM that starts follows the store's changes only if it is the reader.
	roleCheckInterval = 50 * time.Millisecond
	// maxRelayedAge is how stale the tables may get before VMs of other failure domains are asked too.
	maxRelayedAge = 1400 * time.Millisecond
	// readerSkipTime is how long a reader that did not keep the tables current is skipped.
	readerSkipTime = 10 * time.Second
)

// Relay gets the tables of the store from another VM: continuously from the reader of its failure domain, and from any VM while neither
// the reader nor the store is reachable.
type Relay struct {
	Self   model.VMID
	Domain model.Domain
	// Seeds returns peer addresses to ask while no other VM is registered in the cached state.
	Seeds func() []netip.AddrPort
	Cache *state.Cache
	// Rankings ranks the VMs of the failure domain as readers.
	Rankings *state.Rankings
	Watcher  *watch.Watcher
	Samples  *sample.Samples
	Tracker  *place.Tracker
	Client   *Client
	// Listener receives the reports of the reader about the failure domain; nil for none.
	Listener LostListener
	Log      *log.Logger

	role watch.Role
	// skipped counts the VMs that rank before the reader and are skipped since they did not keep the tables current; skippedAt is when
	// the last one was skipped.
	skipped   int
	skippedAt time.Time
	transfers transfers
}

// Run requests tables until the context ends.
func (r *Relay) Run(ctx context.Context) {
	r.role = watch.RoleReader
	for turn := 0; ctx.Err() == nil; turn++ {
		now := clock.Now()
		reader, role := r.chooseReader(now)
		r.setRole(role)
		relayed := role != watch.RoleReader
		switch {
		case relayed && !r.isStale():
			if !r.fetchFromReader(ctx, reader.Peers) {
				retry.Sleep(ctx, relayPause)
			}
		case r.Watcher.HasUnreadableTable() || (relayed && r.isStale()):
			r.skipReader(now, relayed)
			r.fetchFromAnyPeer(ctx, turn)
			retry.Sleep(ctx, relayPause)
		default:
			retry.Sleep(ctx, roleCheckInterval)
		}
	}
}

// setRole sets this VM's role in reading the store for its failure domain.
func (r *Relay) setRole(role watch.Role) {
	if role != r.role {
		r.role = role
		r.Log.Info("role in reading the store", "store-role", role, "skipped", r.skipped)
	}
	r.Watcher.SetRole(role)
}

// chooseReader returns the VM that reads the store for this one, and this VM's own role. A VM that is the reader asks no other VM. A VM that is
// not registered yet is served by those that are, so that VMs which start together do not all follow the store's changes.
// It stops skipping VMs once the last skip is older than readerSkipTime.
func (r *Relay) chooseReader(now time.Time) (state.VM, watch.Role) {
	if now.Sub(r.skippedAt) > readerSkipTime {
		r.skipped = 0
	}
	ranked := r.Rankings.Of(now, r.Domain, watch.ReaderRankKey)
	if len(ranked) == 0 {
		return state.VM{}, watch.RoleReader
	}
	at := r.skipped % len(ranked)
	rank := slices.IndexFunc(ranked, func(vm state.VM) bool { return vm.Name == r.Self })
	if rank < 0 {
		return ranked[at], watch.RoleConsumer
	}
	return ranked[at], watch.RoleAt(rank, at)
}

// skipReader skips a reader that does not keep the tables current, for example because the store rejects it. It does nothing if this
// VM is the reader itself, that is, relayed is false, or if a reader was skipped within the last maxRelayedAge.
func (r *Relay) skipReader(now time.Time, relayed bool) {
	if relayed && now.Sub(r.skippedAt) > maxRelayedAge {
		r.skipped++
		r.skippedAt = now
		r.Log.Info("reader of the store skipped", "skipped", r.skipped, "age", now.Sub(r.Cache.TableCurrentAt()).Round(time.Millisecond))
	}
}

// isStale reports whether the tables are so old that the reader cannot be relied on.
func (r *Relay) isStale() bool { return clock.Now().Sub(r.Cache.TableCurrentAt()) > maxRelayedAge }

// fetchFromAnyPeer fetches from one VM: VMs of the own failure domain and of others alternate from turn to turn. While no other VM is
// registered, it fetches from a seed.
func (r *Relay) fetchFromAnyPeer(ctx context.Context, turn int) {
	peers := r.peers()
	if len(peers) > 0 {
		r.fetch(ctx, peers[turn%len(peers)], 0)
	}
}

func (r *Relay) peers() []netip.AddrPort {
	var sameDomain, otherDomains []netip.AddrPort
	for _, vm := range r.Cache.Snapshot().Others(r.Self) {
		if vm.Domain == r.Domain {
			sameDomain = append(sameDomain, vm.Peers)
		} else {
			otherDomains = append(otherDomains, vm.Peers)
		}
	}
	rand.Shuffle(len(sameDomain), func(a, b int) { sameDomain[a], sameDomain[b] = sameDomain[b], sameDomain[a] })
	rand.Shuffle(len(otherDomains), func(a, b int) { otherDomains[a], otherDomains[b] = otherDomains[b], otherDomains[a] })
	peers := interleave(sameDomain, otherDomains)
	if len(peers) == 0 {
		return r.Seeds()
	}
	return peers
}

// interleave takes elements from both lists alternately.
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

// fetchFromReader requests newer tables from the reader, which holds its answer back while nothing changes; it reports whether the reader answered.
func (r *Relay) fetchFromReader(ctx context.Context, reader netip.AddrPort) bool {
	if r.Listener == nil {
		return r.fetch(ctx, reader, relayPollWait)
	}
	knows := r.Listener.KnowsLost()
	return r.exchange(ctx, reader, TablesRequest{Wait: relayPollWait, KnowsLost: &knows})
}

// fetch requests newer tables and observations from a VM and applies them; it reports whether the VM answered.
func (r *Relay) fetch(ctx context.Context, peer netip.AddrPort, wait time.Duration) bool {
	return r.exchange(ctx, peer, TablesRequest{Wait: wait})
}

// exchange sends a request with the wait and the knowledge in details and with the versions of this VM, and applies the answer.
func (r *Relay) exchange(ctx context.Context, peer netip.AddrPort, details TablesRequest) bool {
	callCtx, cancel := context.WithTimeout(ctx, details.Wait+relayTimeout)
	defer cancel()
	sentAt := clock.Now()
	request := r.transfers.request(r.Watcher.Versions(), r.Watcher.HeldLargeRows())
	request.Wait, request.KnowsLost, request.Conditions = details.Wait, details.KnowsLost, r.Tracker.Observed(sentAt)
	reply, err := r.Client.Tables(callCtx, peer, request)
	if err != nil {
		r.Log.Debug("peer did not answer", "peer", peer, "error", err)
		return false
	}
	if request.KnowsLost != nil {
		r.Listener.RecordLost(reply.Lost)
	}
	// The peer held the answer back after it received the request, so it answered no earlier than this.
	answeredAt := sentAt.Add(time.Duration(float64(reply.Waited) * (1 - clock.MaxDrift)))
	for _, update := range reply.Copies {
		if request.Versions[update.Table] == transferPending {
			continue // The answer does not have the rows, and the version must not pass them, even if the transfer has ended meanwhile.
		}
		r.receive(ctx, peer, update, answeredAt.Add(-update.Age))
	}
	for _, s := range reply.Samples {
		r.Samples.Add(s.Group, sample.Sample{At: answeredAt.Add(-s.Age), Mark: s.Mark})
	}
	for _, check := range reply.Witnessed {
		r.Cache.RecordTermCheck(check.Group, check.Term, answeredAt.Add(-check.Age))
	}
	for _, condition := range reply.Conditions {
		if r.Tracker.RecordReported(answeredAt, condition) {
			r.Log.Info("instance does worse than usual", "instance", condition.Instance, "slowness", condition.Slowness,
				"failing", condition.Failing, "age", condition.Age, "reported-by", peer)
		}
	}
	return true
}
