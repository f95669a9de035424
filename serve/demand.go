package serve

import (
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
)

// demand remembers which groups are read, and how old their data may be.
type demand struct {
	mu     sync.Mutex
	groups map[model.GroupName]asked
}

type asked struct {
	at  time.Time
	age time.Duration
}

func newDemand() *demand { return &demand{groups: map[model.GroupName]asked{}} }

// note records an operation on a route that replicas may serve.
func (d *demand) note(now time.Time, route policy.Route) {
	if route.Consistency == policy.ConsistencyPrimary {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	a, known := d.groups[route.Group]
	if !known || now.Sub(a.at) > demandTime || route.MaxAge < a.age {
		a.age = route.MaxAge
	}
	a.at = now
	d.groups[route.Group] = a
}

// wanted returns the groups that are read now with the shortest allowed age of each.
func (d *demand) wanted(now time.Time) map[model.GroupName]time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	groups := map[model.GroupName]time.Duration{}
	for group, a := range d.groups {
		if now.Sub(a.at) <= demandTime {
			groups[group] = a.age
		}
	}
	return groups
}
