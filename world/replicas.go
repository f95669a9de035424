package world

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// Replicas returns all replicas of a group with an instant as of which there were no others; false means that they may not have
// every commit that was acknowledged.
//
// A commit of a replicated group is acknowledged after one replica received it. That replica may have left or started anew since.
func (w *Cache) Replicas(now time.Time, group model.GroupName) (replicas []model.Instance, asOf time.Time, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.state.Load()
	if s.Policy == nil || !s.Policy.Groups[group].Replicated {
		return nil, time.Time{}, false
	}
	lead, known := s.Primaries[group]
	if !known || now.Sub(w.replicaRemovedAt[group]) < soleReplicaWindow || now.Sub(w.replicaRestartedAt[group]) < soleReplicaWindow {
		return nil, time.Time{}, false
	}
	for _, i := range s.GroupInstances(group) {
		if i.Name != lead.Primary {
			replicas = append(replicas, i)
		}
	}
	return replicas, w.instancesCurrentAt, len(replicas) > 0
}
