package memory

import (
	"container/list"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// Gate limits the connections to a listener; it is safe for concurrent use.
type Gate struct {
	limits GateLimits
	counts *Counts

	mu sync.Mutex
	// unproven holds the connections that have sent nothing valid yet, and proven the others, each in the order of since.
	unproven, proven *list.List
	// idle is the number of proven connections that are unused for now.
	idle  int
	teams map[model.TeamName]int
}

// NewGate returns a gate without connections. It counts refusals in counts.
func NewGate(limits GateLimits, counts *Counts) *Gate {
	return &Gate{limits: limits, counts: counts, unproven: list.New(), proven: list.New(), teams: map[model.TeamName]int{}}
}

// Enter admits a new connection, or refuses it with nil. If there are too many, the new one takes the place of the one that has been silent the longest,
// unless that had less than ProveTime to say something; evict, which must not block, closes the connection then. Connections in use never give way.
func (g *Gate) Enter(now time.Time, evict func()) *Visit {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.makePlace(now) {
		g.counts.Add(KindConnection)
		return nil
	}
	v := &Visit{gate: g, evict: evict, since: now}
	v.join(g.unproven)
	return v
}

// makePlace reports whether there is a place for a new connection, if necessary after closing another.
func (g *Gate) makePlace(now time.Time) bool {
	switch {
	case g.unproven.Len() >= g.limits.Unproven:
		return g.evictUnproven(now)
	case g.unproven.Len()+g.proven.Len() >= g.limits.Connections:
		return g.evictUnproven(now) || g.evictIdle(now)
	default:
		return true
	}
}

func (g *Gate) evictUnproven(now time.Time) bool {
	oldest := g.unproven.Front()
	return oldest != nil && visitOf(oldest).evictUnlessNew(now)
}

func (g *Gate) evictIdle(now time.Time) bool {
	if g.idle == 0 {
		return false
	}
	for e := g.proven.Front(); e != nil; e = e.Next() {
		if v := visitOf(e); v.idle {
			return v.evictUnlessNew(now)
		}
	}
	return false
}

// Open returns the number of open connections.
func (g *Gate) Open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.unproven.Len() + g.proven.Len()
}
