package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/fleet"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/view"
)

const (
	shardInterval = 200 * time.Millisecond
	shardTimeout  = 2 * time.Second
	// rebalanceInterval is the interval at which a VM takes over a shard that another VM holds although this VM ranks
	// first.
	rebalanceInterval = 3 * time.Second
)

// maintainShards takes over the quota shards whose holder has failed or is leaving, if this VM is next in rank for them.
// Every rebalanceInterval it also takes over a misplaced shard.
func (s *Server) maintainShards(ctx context.Context) {
	rebalancedAt := s.now()
	every(ctx, shardInterval, func(ctx context.Context) {
		if s.leaving.Load() || s.now().Sub(s.startedAt) < startupDelay || s.views.State().Version == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, shardTimeout)
		defer cancel()
		state := s.views.State()
		shards := s.orphanShards(ctx, state)
		if len(shards) == 0 && s.now().Sub(rebalancedAt) >= rebalanceInterval {
			rebalancedAt = s.now()
			shards = s.misplacedShards(state)
		}
		if err := s.takeShards(ctx, state, shards); err != nil && !errors.Is(err, view.ErrNoChange) {
			s.log.Debug("taking over quota shards failed", "error", err)
		}
	})
}

// takeShards makes this VM the holder of the given shards, except those whose holder has changed since state.
func (s *Server) takeShards(ctx context.Context, state *view.State, shards []int) error {
	if len(shards) == 0 {
		return nil
	}
	_, err := s.committer.Commit(ctx, func(newest *view.State) (view.Change, error) {
		change := view.Change{Author: string(s.config.VM), Summary: "quota shards taken over"}
		for _, shard := range shards {
			if newest.QuotaShards[shard] != state.QuotaShards[shard] {
				continue
			}
			next := view.QuotaShard{Holder: s.selfMember(), Since: newest.Version + 1}
			if err := change.Put(view.QuotaShardKey(shard), next); err != nil {
				return change, err
			}
		}
		if len(change.Puts) == 0 {
			return change, view.ErrNoChange
		}
		return change, nil
	})
	if err == nil {
		s.log.Info("quota shards taken over", "shards", len(shards))
	}
	return err
}

func (s *Server) selfMember() view.Member {
	self := s.directory.Self()
	return view.Member{VM: self.ID, Boot: s.boot, Domain: self.Domain, Address: self.Address}
}

// orphanShards returns the shards without a working holder for which this VM is next in rank.
func (s *Server) orphanShards(ctx context.Context, state *view.State) []int {
	failed := map[view.Member]bool{}
	var orphans []int
	for shard := range view.ShardCount {
		holder := state.QuotaShards[shard].Holder
		if holder.Boot == s.boot {
			continue
		}
		next := s.rankShardHolders(shard)
		if len(next) > 0 && next[0].ID == holder.VM && len(next) > 1 {
			next = next[1:]
		}
		if len(next) == 0 || next[0].ID != s.config.VM {
			continue
		}
		if _, known := failed[holder]; !known {
			failed[holder] = s.holderFailed(ctx, state, holder)
		}
		if failed[holder] {
			orphans = append(orphans, shard)
		}
	}
	return orphans
}

// rankShardHolders ranks the VMs for a shard; consecutive shards belong to different failure domains, in turn.
func (s *Server) rankShardHolders(shard int) []model.VM {
	domains := fleet.Domains(s.directory.All())
	return s.directory.RankedDomainFirst(view.QuotaShardKey(shard), domains[shard%len(domains)])
}

// misplacedShards returns at most one shard that another process holds although this VM ranks first for it.
func (s *Server) misplacedShards(state *view.State) []int {
	for shard := range view.ShardCount {
		ranked := s.rankShardHolders(shard)
		if len(ranked) > 0 && ranked[0].ID == s.config.VM && state.QuotaShards[shard].Holder.Boot != s.boot {
			return []int{shard}
		}
	}
	return nil
}

// holderFailed reports whether a shard has no holder, or its holder has failed, was restarted or is leaving.
func (s *Server) holderFailed(ctx context.Context, state *view.State, holder view.Member) bool {
	if holder.Boot == "" || s.prober.restarted(holder) {
		return true
	}
	if vm, listed := s.directory.Find(holder.VM); listed && vm.Leaving {
		return true
	}
	return s.prober.checkVMFailed(ctx, holder, state.FleetSettings().SuspectAfter)
}

// releaseShards gives up the shards of this VM, so that the next in rank can take them over at once.
func (s *Server) releaseShards(ctx context.Context) error {
	_, err := s.committer.Commit(ctx, func(state *view.State) (view.Change, error) {
		change := view.Change{Author: string(s.config.VM), Summary: "quota shards given up"}
		for shard, held := range state.QuotaShards {
			if held.Holder.Boot == s.boot {
				change.Delete(view.QuotaShardKey(shard))
			}
		}
		if len(change.Deletes) == 0 {
			return change, view.ErrNoChange
		}
		return change, nil
	})
	if errors.Is(err, view.ErrNoChange) {
		return nil
	}
	return err
}
