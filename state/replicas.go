package state

import (
	"net/netip"
	"time"

	"github.com/crocusshore/crocusshore/elect"
	"github.com/crocusshore/crocusshore/model"
)

// absentReplicaWindow is how long a replica without a registration may still confirm commits: it may be cut off from the store and not from
// its primary.
const absentReplicaWindow = 20 * time.Second

// Replicas returns all replicas of a group and an instant as of which there were no others. It returns false if the group is not replicated
// or has no primary record or no replicas, or if the replicas together may lack a commit that was acknowledged.
//
// A commit of a replicated group is acknowledged after one replica has received it. The record names the replicas that may have been the only
// one, whether they are still registered or not.
func (c *Cache) Replicas(group model.GroupName) (replicas []model.Instance, asOf time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.snapshot.Load()
	if s.Policy == nil || !s.Policy.Groups[group].Replicated {
		return nil, time.Time{}, false
	}
	replicas = s.GroupReplicas(group)
	if !elect.CompareReplicas(s.Primaries[group].Replicas, replicas).Complete() {
		return nil, time.Time{}, false
	}
	asOf = c.instancesCurrentAt
	if at := c.recordCurrentAt(group); at.Before(asOf) {
		asOf = at
	}
	return replicas, asOf, len(replicas) > 0
}

// AbsentReplicasGone reports whether the replicas of a group that are not registered confirm no more commits.
func (c *Cache) AbsentReplicasGone(now time.Time, group model.GroupName) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := c.instancesReadSince
	if at := c.replicaRemovedAt[group]; at.After(since) {
		since = at
	}
	return c.absenceWait(now, time.Time{}) <= 0 && now.Sub(since) >= absentReplicaWindow
}

// EndedReplicas returns those of the absent replicas that confirm no more commits because another instance is registered at their address.
func (c *Cache) EndedReplicas(absent []model.Incarnation) []model.Incarnation {
	c.mu.Lock()
	defer c.mu.Unlock()
	used := map[netip.AddrPort]bool{}
	for _, i := range c.snapshot.Load().Instances {
		used[i.Address] = true
	}
	var ended []model.Incarnation
	for _, r := range absent {
		if address, known := c.formerAddresses[r.Name]; known && address.IsValid() && used[address] {
			ended = append(ended, r)
		}
	}
	return ended
}
