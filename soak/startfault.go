package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
)

const (
	// startStream separates the draws of starts of instances from those of all others, which stay the same for a seed.
	startStream = 5
	// maxStartInterval bounds the time between the ends of one instance and the next.
	maxStartInterval = 3 * time.Second
	// maxAway bounds the time between the end of an instance and its next start.
	maxAway = time.Second
	// minCold and maxCold bound the time for which an instance is slow after its start.
	minCold, maxCold = 2 * time.Second, 6 * time.Second
	// minColdWork and maxColdWork bound by how much a statement takes longer at a cold instance.
	minColdWork, maxColdWork = 20 * time.Millisecond, 150 * time.Millisecond
)

type (
	// starts holds the last start of each instance that was started again; it is safe for concurrent use.
	starts struct {
		mu    sync.Mutex
		times map[model.InstanceName]startTimes
	}

	// startTimes is a start; startedAt is zero if the instance counts as the same one as before.
	startTimes struct{ startedAt, warmAt time.Time }
)

// set records a start.
func (s *starts) set(name model.InstanceName, times startTimes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.times == nil {
		s.times = map[model.InstanceName]startTimes{}
	}
	if times.startedAt.IsZero() {
		times.startedAt = s.times[name].startedAt
	}
	s.times[name] = times
}

// warm records that an instance is warm.
func (s *starts) warm(name model.InstanceName, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if times, started := s.times[name]; started {
		times.warmAt = now
		s.times[name] = times
	}
}

// apply returns the instance with its last start.
func (s *starts) apply(i model.Instance, now time.Time) model.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	if times, started := s.times[i.Name]; started {
		i.WarmUpLeft = max(0, times.warmAt.Sub(now))
		if !times.startedAt.IsZero() {
			i.StartedAt = times.startedAt
		}
	}
	return i
}

// planStarts draws ends of instances that start again and are cold for a while; half of them fail until half of that has passed. Only the first start
// in each group is registered as a new one: after it, the VMs have to assume that the log of the instance is lost, and a group in which all holders of a
// commit started anew has no replica that is safe to promote.
func (i *injector) planStarts(length time.Duration) []fault {
	var plan []fault
	startedAnew := map[int]bool{}
	for at := time.Duration(0); at < length; at += time.Duration(i.random.Int64N(int64(maxStartInterval))) {
		plan = append(plan, i.drawStart(at, length, startedAnew)...)
	}
	return plan
}

// drawStart draws the end of an instance and its next start. Both end at the latest with the faults of the run.
func (i *injector) drawStart(at, length time.Duration, startedAnew map[int]bool) []fault {
	g := i.random.IntN(len(i.site.clusters))
	name := instanceName(g, i.random.IntN(domainCount))
	away := min(time.Duration(i.random.Int64N(int64(maxAway))), length-at)
	cold := min(minCold+time.Duration(i.random.Int64N(int64(maxCold-minCold))), length-at-away)
	work := minColdWork + time.Duration(i.random.Int64N(int64(maxColdWork-minColdWork)))
	fails, anew := i.random.IntN(2) == 0, !startedAnew[g]
	startedAnew[g] = true
	down := func(down bool) func() {
		return func() { i.site.changeFaults(g, name, func(f *stand.DatabaseFaults) { f.Down = down }) }
	}
	return []fault{
		{at: at, length: away, name: fmt.Sprintf("%s ends", name), begin: down(true), end: down(false)},
		{
			at: at + away, length: cold, name: fmt.Sprintf("%s starts, statements take %s longer, fails %t, new start %t", name, work.Round(time.Millisecond), fails, anew),
			begin: func() {
				now := time.Now()
				start := stand.StartFaults{Work: work}
				if fails {
					start.FailsUntil = now.Add(cold / 2)
				}
				times := startTimes{warmAt: now.Add(cold)}
				if anew {
					times.startedAt = now
				}
				i.site.startInstance(g, name, start, times)
			},
			end: func() { i.site.warmInstance(g, name) },
		},
	}
}

// startInstance lets an instance be cold and registers its start.
func (s *site) startInstance(g int, name model.InstanceName, start stand.StartFaults, times startTimes) {
	s.changeFaults(g, name, func(f *stand.DatabaseFaults) { f.Start = start })
	s.starts.set(name, times)
	s.registerAgain(name)
}

// warmInstance ends the time in which an instance is cold, and registers that.
func (s *site) warmInstance(g int, name model.InstanceName) {
	s.changeFaults(g, name, func(f *stand.DatabaseFaults) { f.Start = stand.StartFaults{} })
	s.starts.warm(name, time.Now())
	s.registerAgain(name)
}

// registerAgain registers an instance with its present role.
func (s *site) registerAgain(name model.InstanceName) {
	for _, i := range s.instances {
		if i.Name == name {
			i.Role = s.role(i)
			s.register(i)
		}
	}
}
