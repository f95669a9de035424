package state

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// Replicas returns all replicas of a group and an instant as of which there were no others. It returns false if the group is not replicated
// or has no primary record or no replicas, or if the replicas together may lack a commit that was acknowledged.
//
// A commit of a replicated group is acknowledged after one replica has received it. That replica may have been removed or restarted
// since, or it has not registered again yet.
func (c *Cache) Replicas(now time.Time, group model.GroupName) (replicas []model.Instance, asOf time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.snapshot.Load()
	if s.Policy == nil || !s.Policy.Groups[group].Replicated {
		return nil, time.Time{}, false
	}
	record, known := s.Primaries[group]
	if !known || c.absenceWait(c.instancesCurrentAt, time.Time{}) > 0 || now.Sub(c.replicaRemovedAt[group]) < soleReplicaWindow || now.Sub(c.replicaRestartedAt[group]) < soleReplicaWindow {
		return nil, time.Time{}, false
	}
	for _, i := range s.GroupInstances(group) {
		if i.Name != record.Primary {
			replicas = append(replicas, i)
		}
	}
	return replicas, c.instancesCurrentAt, len(replicas) > 0
}
