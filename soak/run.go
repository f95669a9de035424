package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
)

const (
	// startTimeout bounds the time until all VMs take writes after the first start, and recoveryTimeout the same after the last fault.
	startTimeout    = 10 * time.Second
	recoveryTimeout = 15 * time.Second
	// inEffectTimeout bounds the time until changed settings are in effect on all VMs, with a margin for the machine that runs the soak.
	inEffectTimeout = 3500 * time.Millisecond
	// replicationWait is how long the replicas have to receive the remaining commits before the audit.
	replicationWait = 500 * time.Millisecond
	pollInterval    = 50 * time.Millisecond
)

// Report is the result of a run.
type Report struct {
	// Faults lists the faults in the order of their beginning, with their times.
	Faults []string
	// Violations lists the violated invariants, at most maxViolations of a check.
	Violations []string
	// Kinds counts the violations by the names of their checks, also those beyond maxViolations.
	Kinds map[string]int
	// Acknowledged, Refused and Unknown count the writes by the outcome that their callers were answered.
	Acknowledged, Refused, Unknown int
	// Rejected counts the statements of callers that were answered as no statement of the protocol, though all of them are.
	Rejected int
	// Unanswered counts the violations of the check of answers, also those beyond maxViolations.
	Unanswered int
	// Rate describes the window with the most operations of the team that sends more than its rate.
	Rate   string
	Orders OrderCounts
	// Evacuations describes the evacuations of the run; it is empty in runs without them.
	Evacuations string
}

// Run runs one seed: it starts the VMs, runs callers and injects faults, awaits the recovery, and checks the invariants. An error means
// that the run was not possible or was cancelled; violations are in the report.
func Run(ctx context.Context, config Config) (Report, error) {
	if err := config.Check(); err != nil {
		return Report{}, err
	}
	s, err := newSite(config)
	defer s.close()
	if err != nil {
		return Report{}, err
	}
	if !s.await(ctx, startTimeout, s.probeAllVMs) {
		s.history.addViolation("recovery: not all VMs serve %s after their start", startTimeout)
	}
	if config.PlannedOnly {
		s.balancer = newBalancer(s.ctx, s.vms)
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for n := range config.Sessions {
		callers.Go(func() { s.newCaller(n).run(stop) })
	}
	faults := s.plan()
	if config.Evacuations {
		go s.measureEvacuations(stop)
	}
	s.playFaults(ctx, faults)
	s.endFaults()
	faultsEndedAt := time.Now()
	if !s.await(ctx, recoveryTimeout, s.probeAllVMs) {
		s.history.addViolation("recovery: not all VMs serve %s after the last fault", recoveryTimeout)
	}
	if config.Evacuations || config.SlowStarts {
		s.checkUses(ctx, faultsEndedAt)
	}
	close(stop)
	callers.Wait()
	s.callersEndedAt = time.Now()
	s.revokeKey(ctx)
	s.awaitOrders()
	s.awaitPrimaries(ctx)
	time.Sleep(replicationWait)
	s.audit()
	return s.report(faults), ctx.Err()
}

// plan draws the faults or the planned work of the run.
func (s *site) plan() []fault {
	random := rand.New(rand.NewPCG(s.config.Seed, 1))
	if s.config.PlannedOnly {
		return (&planner{site: s, random: random}).plan(s.config.For)
	}
	plan := (&injector{site: s, random: random}).plan(s.config.For)
	for _, series := range []struct {
		wanted bool
		stream uint64
		plan   func(*injector, time.Duration) []fault
	}{
		{s.config.OrderFaults, orderFaultStream, (*injector).planOrderFaults},
		{s.config.AnswerFaults, answerFaultStream, (*injector).planAnswerFaults},
		{s.config.Evacuations, evacuationStream, (*injector).planEvacuations},
		{s.config.SlowStarts, startStream, (*injector).planStarts},
		{s.config.LargeSettings, sizeStream, (*injector).planSizes},
		{s.config.Crowds, crowdStream, (*injector).planCrowds},
		{s.config.Restores, restoreStream, (*injector).planRestores},
	} {
		if series.wanted {
			i := &injector{site: s, random: rand.New(rand.NewPCG(s.config.Seed, series.stream))}
			plan = append(plan, series.plan(i, s.config.For)...)
		}
	}
	sort.SliceStable(plan, func(a, b int) bool { return plan[a].at < plan[b].at })
	return plan
}

func (s *site) newCaller(n int) *caller {
	c := &caller{
		site: s, name: fmt.Sprintf("s%d", n), random: rand.New(rand.NewPCG(s.config.Seed, uint64(n)+100)), team: teamBuilders, key: keyBuilders,
		texts: &texts{random: rand.New(rand.NewPCG(s.config.Seed, uint64(n)+textStream))}, maxPause: maxPause,
	}
	switch {
	case s.config.PlannedOnly:
		c.maxPause = []time.Duration{maxPause, maxPause, maxCalmPause, maxIdlePause}[n%4]
	case n%4 == 3:
		c.team, c.key = teamCrew, keyCrew
	}
	return c
}

// playFaults begins and ends the faults at their times, until ctx ends.
func (s *site) playFaults(ctx context.Context, faults []fault) {
	type step struct {
		at   time.Duration
		name string
		do   func()
	}
	var steps []step
	for _, f := range faults {
		steps = append(steps, step{f.at, f.name, f.begin}, step{f.at + f.length, "end of: " + f.name, f.end})
	}
	sort.SliceStable(steps, func(a, b int) bool { return steps[a].at < steps[b].at })
	start := time.Now()
	for _, next := range steps {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(next.at))):
		}
		s.config.Log.Info("fault", "name", next.name)
		next.do()
	}
}

// endFaults removes all faults of the store, the network and the instances that are still active.
func (s *site) endFaults() {
	s.setStoreFaults(stand.RowsFaults{})
	s.orders.SetFaults(stand.OrderFaults{})
	s.orderListener.paused.Store(false)
	for _, proxy := range slices.Concat(s.storeProxies, s.orderProxies) {
		proxy.Set(LinkFaults{})
	}
	for _, links := range s.instanceProxies {
		for _, proxy := range links {
			proxy.Set(LinkFaults{})
		}
	}
	for g := range s.clusters {
		for d := range domainCount {
			s.changeFaults(g, instanceName(g, d), func(f *stand.DatabaseFaults) { *f = stand.DatabaseFaults{} })
		}
	}
	for d := range domainCount {
		s.evacuate(domainName(d), false)
	}
}

func (s *site) await(ctx context.Context, limit time.Duration, done func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until) && ctx.Err() == nil; time.Sleep(pollInterval) {
		if done() {
			return true
		}
	}
	return false
}

// role returns RolePrimary for the primary of the highest term in its group, and RoleReplica for any other instance.
func (s *site) role(i model.Instance) model.Role {
	for g, cluster := range s.clusters {
		if name, _ := cluster.Primary(); groupName(g) == i.Group && name == i.Name {
			return model.RolePrimary
		}
	}
	return model.RoleReplica
}

// audit checks the logs of the instances against what callers were answered, and reports what processes and clusters recorded.
func (s *site) audit() {
	for _, vm := range s.vms {
		vm.mu.Lock()
		for _, failure := range vm.failures {
			s.history.addViolation("process: %s", failure)
		}
		vm.mu.Unlock()
	}
	s.checkOrders()
	kept := s.keptWrites()
	for _, cluster := range s.clusters {
		for _, violation := range cluster.OrderViolations() {
			s.history.addViolation("cluster: %s", violation)
		}
	}
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	s.checkPromotions()
	for item, versions := range s.history.items {
		for _, v := range versions {
			s.checkWrite(item, v, kept)
		}
	}
	s.history.checkRates(teamCrew, crewRate, crewRate)
	s.unanswered = s.history.checkAnswers()
}

// checkPromotions checks that no promotion removed a commit that an instance had acknowledged, whatever its caller was told: the acknowledgement
// may have been on its way. The caller holds the lock of the history.
func (s *site) checkPromotions() {
	for _, cluster := range s.clusters {
		for _, id := range cluster.LostCommits() {
			s.history.addViolationLocked("cluster: the commit %s was acknowledged by its instance, and a promotion cut it off (its caller was told: %t)", id,
				s.history.told[id] == outcomeAcked)
		}
	}
}

// keptWrites returns how many times each write is kept. The VMs still run and may replace a primary now: the log of each group is read at one
// moment at which it has a primary, for which keptWrites waits.
func (s *site) keptWrites() map[model.RequestID]int {
	all := map[model.RequestID]int{}
	for _, cluster := range s.clusters {
		kept, found := cluster.Kept()
		for until := time.Now().Add(recoveryTimeout); !found && time.Now().Before(until); kept, found = cluster.Kept() {
			time.Sleep(pollInterval)
		}
		if !found {
			s.history.addViolation("recovery: a group has no primary %s after the audit began", recoveryTimeout)
		}
		for id, count := range kept {
			all[id] += count
		}
	}
	return all
}

func (s *site) checkWrite(item string, v writtenValue, kept map[model.RequestID]int) {
	count := kept[v.id]
	switch {
	case v.outcome == outcomeAcked && count == 0:
		s.history.addViolationLocked("lost: %q (%s) was acknowledged and is not kept", v.value, v.id)
	case v.outcome == outcomeRefused && count > 0:
		s.history.addViolationLocked("kept: %q (%s) was refused or rolled back and is kept", v.value, v.id)
	case count > 1:
		s.history.addViolationLocked("twice: %q (%s) of %q is kept %d times", v.value, v.id, item, count)
	}
}

func (s *site) report(faults []fault) Report {
	orders := s.countOrders()
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	r := Report{
		Violations: s.history.violations, Kinds: maps.Clone(s.history.kinds), Acknowledged: s.history.outcomes[outcomeAcked],
		Refused: s.history.outcomes[outcomeRefused], Unknown: s.history.outcomes[outcomeUnknown], Rejected: s.history.rejected,
		Unanswered: s.unanswered, Rate: s.history.rate, Orders: orders,
	}
	if s.config.Evacuations {
		r.Evacuations = s.evacuations.String()
	}
	for _, f := range faults {
		r.Faults = append(r.Faults, fmt.Sprintf("%6.2f s to %6.2f s  %s", f.at.Seconds(), (f.at+f.length).Seconds(), f.name))
	}
	return r
}

// Count returns the number of all violations, also of those that are not kept.
func (r Report) Count() int {
	count := 0
	for _, n := range r.Kinds {
		count += n
	}
	return count
}

// MakeDir returns a new directory for settings and logs below a parent; an empty parent is the system's directory for temporary files.
func MakeDir(parent string, seed uint64) (string, error) {
	return os.MkdirTemp(parent, fmt.Sprintf("soak-%d-", seed))
}
