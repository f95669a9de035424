package serve

import (
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
)

// readDemand records which groups are read, and the shortest staleness that these reads allow.
type readDemand struct {
	mu     sync.Mutex
	groups map[model.GroupName]groupDemand
}

// groupDemand is when a group was last read, and how stale the data may be.
type groupDemand struct {
	lastReadAt time.Time
	maxAge     time.Duration
}

func newReadDemand() *readDemand { return &readDemand{groups: map[model.GroupName]groupDemand{}} }

// record records an operation on a route; it ignores routes that only the primary may serve.
func (r *readDemand) record(now time.Time, route policy.Route) {
	if route.Consistency == policy.ConsistencyPrimary {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	g, known := r.groups[route.Group]
	if !known || now.Sub(g.lastReadAt) > demandTTL || route.MaxAge < g.maxAge {
		g.maxAge = route.MaxAge
	}
	g.lastReadAt = now
	r.groups[route.Group] = g
}

// active returns the groups that were read within demandTTL, with the shortest staleness allowed for each.
func (r *readDemand) active(now time.Time) map[model.GroupName]time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	groups := map[model.GroupName]time.Duration{}
	for group, g := range r.groups {
		if now.Sub(g.lastReadAt) <= demandTTL {
			groups[group] = g.maxAge
		}
	}
	return groups
}
