package policy

import (
	"slices"

	"github.com/crocusshore/crocusshore/model"
)

// Priorities returns the distinct priorities of the routes of each group, in the order in which they are served. The caller must not change
// the map. It is computed once, since each statement uses it.
func (p *Policy) Priorities() map[model.GroupName][]int {
	if known := p.priorities.Load(); known != nil {
		return *known
	}
	all := map[model.GroupName][]int{}
	for _, route := range p.Routes {
		priorities := all[route.Group]
		if at, found := slices.BinarySearch(priorities, route.Priority); !found {
			all[route.Group] = slices.Insert(priorities, at, route.Priority)
		}
	}
	p.priorities.Store(&all)
	return all
}
