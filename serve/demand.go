package serve

import (
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
)

// readDemand remembers which groups are read, and how old their data may be.
type readDemand struct {
	mu     sync.Mutex
	groups map[model.GroupName]groupDemand
}

type groupDemand struct {
	lastReadAt time.Time
	maxAge     time.Duration
}

func newReadDemand() *readDemand { return &readDemand{groups: map[model.GroupName]groupDemand{}} }

// record records an operation on a route that replicas may serve.
func (d *readDemand) record(now time.Time, route policy.Route) {
	if route.Consistency == policy.ConsistencyPrimary {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	a, known := d.groups[route.Group]
	if !known || now.Sub(a.lastReadAt) > demandTTL || route.MaxAge < a.maxAge {
		a.maxAge = route.MaxAge
	}
	a.lastReadAt = now
	d.groups[route.Group] = a
}

// active returns the groups that are read now with the shortest allowed age of each.
func (d *readDemand) active(now time.Time) map[model.GroupName]time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	groups := map[model.GroupName]time.Duration{}
	for group, a := range d.groups {
		if now.Sub(a.lastReadAt) <= demandTTL {
			groups[group] = a.maxAge
		}
	}
	return groups
}
