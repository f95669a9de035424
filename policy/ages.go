package policy

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// ReplicaMaxAges returns the groups that replicas may serve, with the shortest staleness that their routes allow.
func (p *Policy) ReplicaMaxAges() map[model.GroupName]time.Duration {
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
