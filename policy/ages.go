package policy

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// ReplicaMaxAges returns the groups that replicas may serve, with the shortest staleness that their routes allow. The caller must not change
// the map. It is computed once, since a VM uses it ten times a second and there may be thousands of routes.
func (p *Policy) ReplicaMaxAges() map[model.GroupName]time.Duration {
	if known := p.replicaMaxAges.Load(); known != nil {
		return *known
	}
	ages := p.computeReplicaMaxAges()
	p.replicaMaxAges.Store(&ages)
	return ages
}

func (p *Policy) computeReplicaMaxAges() map[model.GroupName]time.Duration {
	ages := map[model.GroupName]time.Duration{}
	for _, route := range p.Routes {
		if route.Consistency == ConsistencyPrimary {
			continue
		}
		if age, known := ages[route.Group]; !known || route.MaxAge < age {
			ages[route.Group] = route.MaxAge
		}
	}
	return ages
}
