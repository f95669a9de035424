package bench

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/entry"
	"github.com/crocusshore/crocusshore/load"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/quota"
	"github.com/crocusshore/crocusshore/tree"
	"github.com/crocusshore/crocusshore/view"
)

const (
	limitsTime = 30 * time.Second
	// limitsLightLoad and limitsHeavyLoad are the rates of the teams, as multiples of their rate limits.
	limitsLightLoad = 0.7
	limitsHeavyLoad = 5
	limitsSkew      = 0.6
	limitsPauseTime = 4 * time.Second
	// healthCheckDelay is how long the load balancer takes to notice that a VM stopped or resumed answering.
	healthCheckDelay = time.Second
	// limitsRateScale reduces the rates of the profile, so that one machine can carry the load of all teams together.
	limitsRateScale = 0.25
)

// limits measures how well the rate limits of teams hold across all VMs. One team sends five times its rate, through a load balancer
// that prefers some VMs; meanwhile two holders of quota shards are killed and one is paused. The baselines, static division and gossip,
// get the same requests.
func limits(ctx context.Context, options Options) (Figures, []string, error) {
	profile := options.Profile
	for i := range profile.Teams {
		profile.Teams[i].Rate *= limitsRateScale
		profile.Teams[i].Burst = profile.Teams[i].Rate
	}
	admitted := newAdmissions()
	fleet, err := StartFleet(ctx, FleetConfig{Profile: profile, OnAdmitted: admitted.add})
	if err != nil {
		return nil, nil, err
	}
	defer fleet.Close()
	balancer := &balancer{fleet: fleet}
	samples := newSampleLog()
	config := fleet.LoadConfig(options.Seed, 1, 0.1)
	config.Entries, config.Skew, config.Roam, config.Observe = balancer.addresses, limitsSkew, 0.5, samples.observe
	config.Sessions = 64
	for i, team := range profile.Teams {
		config.Teams[i].Rate = team.Rate * limitsLightLoad
	}
	heavy := profile.Teams[len(profile.Teams)-1]
	config.Teams[len(config.Teams)-1].Rate = heavy.Rate * limitsHeavyLoad
	runner := load.New(config)
	runCtx, cancel := context.WithTimeout(ctx, options.timeOr(limitsTime))
	defer cancel()
	go disruptHolders(runCtx, fleet, balancer, profile.Teams, options.timeOr(limitsTime))
	runner.Run(runCtx)
	runner.Audit(ctx)
	return limitFigures(profile, heavy.Name, admitted, samples), append(runner.Violations().List(), fleet.Violations()...), nil
}

// limitFigures compares the admissions with those of one ideal bucket and of the two baselines.
func limitFigures(profile Profile, heavy model.TeamName, admitted *admissions, samples *sampleLog) Figures {
	figures := Figures{"OverRate": -1, "StaticOverRate": -1, "GossipOverRate": -1}
	requests, refused, staticRefused, gossipRefused := 0, 0.0, 0.0, 0.0
	for _, team := range profile.Teams {
		limit := quota.Limit{Rate: team.Rate, Burst: team.Burst}
		list := samples.of(team.Name)
		idealAdmitted := idealAdmissions(list, limit)
		staticAdmitted, gossipAdmitted := staticAdmissions(list, limit, profile.Entries), gossipAdmissions(list, limit)
		bucket := string(tree.TeamPath(team.Name))
		figures["OverRate"] = max(figures["OverRate"], admitted.maxOverRate(bucket, limit))
		figures["StaticOverRate"] = max(figures["StaticOverRate"], maxOverRateOf(list, staticAdmitted, limit))
		figures["GossipOverRate"] = max(figures["GossipOverRate"], maxOverRateOf(list, gossipAdmitted, limit))
		if team.Name == heavy {
			figures["HeavyServedShare"] = float64(admitted.count(bucket)) / float64(max(1, countTrue(idealAdmitted)))
			continue
		}
		requests += len(list)
		refused += wrongfulRefusals(idealAdmitted, notRefused(list)) * float64(len(list))
		staticRefused += wrongfulRefusals(idealAdmitted, staticAdmitted) * float64(len(list))
		gossipRefused += wrongfulRefusals(idealAdmitted, gossipAdmitted) * float64(len(list))
	}
	for reason, count := range refusals(samples, profile, heavy) {
		figures["Refused"+string(reason)] = float64(count)
	}
	figures["WrongfulRefusals"] = refused / float64(max(1, requests))
	figures["StaticWrongfulRefusals"] = staticRefused / float64(max(1, requests))
	figures["GossipWrongfulRefusals"] = gossipRefused / float64(max(1, requests))
	figures["Asked"] = float64(requests)
	return figures
}

// notRefused returns, for each sample, whether it was not refused, that is, whether its outcome is not NotRun.
func notRefused(samples []load.Sample) []bool {
	admitted := make([]bool, len(samples))
	for i, sample := range samples {
		refusal := sample.Answer.Refusal
		admitted[i] = refusal == nil || refusal.Outcome != model.NotRun
	}
	return admitted
}

func countTrue(list []bool) int {
	count := 0
	for _, value := range list {
		if value {
			count++
		}
	}
	return count
}

// balancer is a load balancer that offers the entries that aren't marked as unhealthy.
type balancer struct {
	fleet *Fleet

	mu        sync.Mutex
	unhealthy map[model.VMID]bool
}

func (b *balancer) addresses() []netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	var addresses []netip.AddrPort
	for _, server := range b.fleet.Entries() {
		if server.HasSettings() && !b.unhealthy[server.Self().ID] {
			addresses = append(addresses, server.CallerAddress)
		}
	}
	return addresses
}

func (b *balancer) setUnhealthy(id model.VMID, unhealthy bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.unhealthy == nil {
		b.unhealthy = map[model.VMID]bool{}
	}
	b.unhealthy[id] = unhealthy
}

// shardHolder returns the entry that grants the tokens of a team; nil if none holds the team's quota shard.
func shardHolder(f *Fleet, team model.TeamName) *entry.Server {
	shard := view.QuotaShardOf(string(tree.TeamPath(team)), 0)
	for _, server := range f.Entries() {
		if server.View().QuotaShards[shard].Holder.VM == server.Self().ID {
			return server
		}
	}
	return nil
}

// disruptHolders kills the shard holders of two teams and pauses the shard holder of a third, one after another.
func disruptHolders(ctx context.Context, f *Fleet, b *balancer, teams []TeamProfile, total time.Duration) {
	interval := total / 4
	for i, team := range teams[:3] {
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
		server := shardHolder(f, team.Name)
		if server == nil {
			continue
		}
		if i < 2 {
			f.RemoveEntry(server)
			server.Kill()
			continue
		}
		id := server.Self().ID
		f.Network.Pause(id, true)
		time.AfterFunc(healthCheckDelay, func() { b.setUnhealthy(id, true) })
		time.AfterFunc(limitsPauseTime, func() { f.Network.Pause(id, false) })
		time.AfterFunc(limitsPauseTime+healthCheckDelay, func() { b.setUnhealthy(id, false) })
	}
}

// refusals counts, by reason, the requests that were refused as not run. It leaves out heavy, the only team that exceeds its rate.
func refusals(samples *sampleLog, profile Profile, heavy model.TeamName) map[model.Reason]int {
	counts := map[model.Reason]int{}
	for _, team := range profile.Teams {
		for _, sample := range samples.of(team.Name) {
			if refusal := sample.Answer.Refusal; team.Name != heavy && refusal != nil && refusal.Outcome == model.NotRun {
				counts[refusal.Reason]++
			}
		}
	}
	return counts
}
