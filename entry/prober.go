package entry

import (
	"context"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/fleet"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/probe"
	"github.com/crocusshore/crocusshore/tree"
	"github.com/crocusshore/crocusshore/view"
	"github.com/crocusshore/crocusshore/wire"
)

const (
	probeRoundInterval = 50 * time.Millisecond
	probeTimeout       = 300 * time.Millisecond
	// probeInterval is the interval at which a target that answers is probed. A target that does not answer is probed in every
	// round.
	probeInterval = 300 * time.Millisecond
	voteTimeout   = 150 * time.Millisecond
	// secondWatcherFactor is the probe interval of the second watcher of a failure domain, as a multiple of probeInterval.
	secondWatcherFactor = 3
	// watchersPerDomain is how many VMs of each failure domain probe a target.
	watchersPerDomain = 2
)

// target is an instance or a VM that is probed. The VMs that probe it are its watchers; rankingKey is the key of the ranking
// that selects them.
type target struct {
	name       string
	rankingKey string
}

// groupRankingKey returns the key of the ranking that selects the watchers of a group.
func groupRankingKey(name model.GroupName) string { return "group/" + string(name) }

// instanceTarget returns the target of an instance, which the watchers of its group probe.
func instanceTarget(ref model.InstanceRef) target {
	return target{name: "instance/" + ref.String(), rankingKey: groupRankingKey(ref.Group)}
}

func vmTarget(id model.VMID) target {
	return target{name: "vm/" + string(id), rankingKey: "vm/" + string(id)}
}

// trackedTarget is the state of one target on this VM.
type trackedTarget struct {
	detector probe.Detector
	probing  bool
	probedAt time.Time
	boot     model.BootID
}

// prober probes instances and VMs, and decides by the votes of all failure domains whether an instance or a VM has failed.
type prober struct {
	server *Server

	mu      sync.Mutex
	targets map[string]*trackedTarget
}

func newProber(s *Server) *prober {
	return &prober{server: s, targets: map[string]*trackedTarget{}}
}

func (p *prober) run(ctx context.Context) {
	every(ctx, probeRoundInterval, p.round)
}

func (p *prober) round(ctx context.Context) {
	state := p.server.views.State()
	for _, group := range state.Tree.Groups() {
		rank, isWatcher := p.watcherRank(groupRankingKey(group.Name))
		if !isWatcher {
			continue
		}
		if instance, known := group.Instance(state.Placements[group.Name].LastPrimary()); known {
			ref := model.InstanceRef{Group: group.Name, Instance: instance.Name}
			p.startProbe(instanceTarget(ref), rank, func() { p.probeInstance(ctx, ref, instance) })
		}
	}
	for _, vm := range p.watchedVMs(state) {
		if rank, isWatcher := p.watcherRank(vmTarget(vm.ID).rankingKey); isWatcher {
			p.startProbe(vmTarget(vm.ID), rank, func() { p.probeVM(ctx, vm) })
		}
	}
}

// probeIntervalOf returns the shortest time between the starts of two probes of a target.
func probeIntervalOf(tracked *trackedTarget, rank int) time.Duration {
	switch {
	case tracked.detector.Failing():
		return 0
	case rank > 0:
		return secondWatcherFactor * probeInterval
	default:
		return probeInterval
	}
}

// watchedVMs returns the other VMs that the view names as stewards or holders of shards; only these are probed regularly.
func (p *prober) watchedVMs(state *view.State) []model.VM {
	seen := map[model.VMID]bool{p.server.config.VM: true}
	var vms []model.VM
	add := func(member view.Member) {
		if member.Boot != "" && !seen[member.VM] {
			seen[member.VM] = true
			vms = append(vms, model.VM{ID: member.VM, Domain: member.Domain, Address: member.Address})
		}
	}
	for _, member := range state.Stewards.Current {
		add(member)
	}
	for _, shard := range state.QuotaShards {
		add(shard.Holder)
	}
	return vms
}

// watcherRank returns the rank of this VM among the watchers of its failure domain; isWatcher is false if it is none of them.
func (p *prober) watcherRank(rankingKey string) (rank int, isWatcher bool) {
	return fleet.Index(p.server.config.VM, p.watchers(rankingKey, p.server.config.Domain))
}

func (p *prober) watchers(rankingKey string, domain model.Domain) []model.VM {
	ranked := p.server.directory.RankedInDomain(rankingKey, domain)
	return ranked[:min(watchersPerDomain, len(ranked))]
}

func (p *prober) ensureTracked(t target) *trackedTarget {
	tracked := p.targets[t.name]
	if tracked == nil {
		tracked = &trackedTarget{}
		p.targets[t.name] = tracked
	}
	return tracked
}

// startProbe probes a target in the background, unless a probe of it is running or no probe is due.
func (p *prober) startProbe(t target, rank int, run func()) {
	now := p.server.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	tracked := p.ensureTracked(t)
	if tracked.probing || now.Sub(tracked.probedAt) < probeIntervalOf(tracked, rank) {
		return
	}
	tracked.probing = true
	tracked.probedAt = now
	tracked.detector.RecordProbe(now)
	go func() {
		run()
		p.mu.Lock()
		defer p.mu.Unlock()
		tracked.probing = false
	}()
}

func (p *prober) probeInstance(ctx context.Context, ref model.InstanceRef, instance tree.Instance) {
	sentAt := p.server.now()
	_, err := p.server.statusOf(ctx, ref, instance)
	p.mu.Lock()
	defer p.mu.Unlock()
	tracked := p.ensureTracked(instanceTarget(ref))
	if err != nil {
		tracked.detector.RecordFailure()
		return
	}
	tracked.detector.RecordAnswer(sentAt)
}

// statusOf asks an instance for its status and records its log position and replication lag, or the failure.
func (s *Server) statusOf(ctx context.Context, ref model.InstanceRef, instance tree.Instance) (model.UpstreamStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	upstream, err := s.executor.Upstream(instance)
	if err != nil {
		return model.UpstreamStatus{}, err
	}
	status, err := upstream.Status(ctx, 0, 0)
	if err != nil {
		s.observations.recordFailure(ref, s.now())
		return model.UpstreamStatus{}, err
	}
	s.observations.recordAnswer(ref, s.now(), model.Mark{Term: status.Term, Position: status.Applied}, status.Age)
	return status, nil
}

func (p *prober) probeVM(ctx context.Context, vm model.VM) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	sentAt := p.server.now()
	answer, err := p.server.requestConfirmation(ctx, vm)
	p.mu.Lock()
	defer p.mu.Unlock()
	tracked := p.ensureTracked(vmTarget(vm.ID))
	if err != nil {
		tracked.detector.RecordFailure()
		return
	}
	tracked.boot = model.BootID(answer.BootId)
	tracked.detector.RecordAnswer(sentAt)
}

// unansweredFor returns how long a target has not answered this VM, and whether this VM is probing it.
func (p *prober) unansweredFor(name string) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	tracked := p.targets[name]
	if tracked == nil {
		return 0, false
	}
	return tracked.detector.UnansweredFor(p.server.now())
}

// suspects reports whether this VM suspects a target, regardless of the votes of other VMs.
func (p *prober) suspects(t target, after time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	tracked := p.targets[t.name]
	return tracked != nil && tracked.detector.Suspected(p.server.now(), after)
}

// restarted reports whether a probe found that another process has replaced the member's process.
func (p *prober) restarted(member view.Member) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	tracked := p.targets[vmTarget(member.VM).name]
	return tracked != nil && tracked.boot != "" && tracked.boot != member.Boot
}

// targetFailed reports whether a target has failed. If this VM suspects it, the watchers of all failure domains vote.
func (p *prober) targetFailed(ctx context.Context, t target, after time.Duration) bool {
	if !p.suspects(t, after) {
		return false
	}
	domains := fleet.Domains(p.server.directory.All())
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	votes := make(chan probe.Vote, len(domains))
	for _, domain := range domains {
		go func() { votes <- p.domainVote(ctx, domain, t) }()
	}
	var received []probe.Vote
	for range domains {
		received = append(received, <-votes)
	}
	return probe.Failed(received, len(domains), after)
}

// domainVote returns the vote of a failure domain: the vote of the first watcher that answers and is probing the target.
func (p *prober) domainVote(ctx context.Context, domain model.Domain, t target) probe.Vote {
	watchers := p.watchers(t.rankingKey, domain)
	votes := make([]probe.Vote, len(watchers))
	var wait sync.WaitGroup
	for i, vm := range watchers {
		wait.Go(func() { votes[i] = p.vmVote(ctx, vm, t.name) })
	}
	wait.Wait()
	for _, vote := range votes {
		if vote.Probed {
			return vote
		}
	}
	return probe.Vote{Domain: domain}
}

func (p *prober) vmVote(ctx context.Context, vm model.VM, name string) probe.Vote {
	vote := probe.Vote{Domain: vm.Domain}
	if vm.ID == p.server.config.VM {
		vote.UnansweredFor, vote.Probed = p.unansweredFor(name)
		return vote
	}
	answer, err := p.server.directory.Peer(vm.Address).Reach(ctx, newRequest(&wire.ReachRequest{Target: name}))
	if err != nil {
		return vote
	}
	vote.Probed = answer.Msg.Known
	vote.UnansweredFor = time.Duration(answer.Msg.AgeUs) * time.Microsecond
	return vote
}

// checkVMFailed reports whether a VM has failed. It also starts a probe of that VM, in case this VM does not probe
// it regularly.
func (p *prober) checkVMFailed(ctx context.Context, member view.Member, after time.Duration) bool {
	t := vmTarget(member.VM)
	vm := model.VM{ID: member.VM, Domain: member.Domain, Address: member.Address}
	p.startProbe(t, 0, func() { p.probeVM(context.WithoutCancel(ctx), vm) })
	return p.targetFailed(ctx, t, after)
}
