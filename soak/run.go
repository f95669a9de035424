package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
)

const (
	// readyTime bounds the first start of all processes, and recoverTime the way back to service after the last fault.
	readyTime   = 10 * time.Second
	recoverTime = 15 * time.Second
	// inForceTime is when changed settings are in force everywhere, with a margin for this machine.
	inForceTime = 3500 * time.Millisecond
	// settleTime lets replicas receive the rest.
	settleTime = 500 * time.Millisecond
	// quotaWindow is the span in which operations of a team are counted, and quotaExcess what may be beyond its rate and burst.
	quotaWindow = 5 * time.Second
	quotaExcess = 1.1
	lookPause   = 50 * time.Millisecond
)

// Report is what came of a run.
type Report struct {
	// Faults are the faults in the order of their beginning, with their times.
	Faults []string
	// Breaches are the promises that were broken.
	Breaches []string
	// Acknowledged, Refused and Open count the writes by what their callers were told.
	Acknowledged, Refused, Open int
}

// Run plays one seed.
func Run(ctx context.Context, config Config) (Report, error) {
	if err := config.Check(); err != nil {
		return Report{}, err
	}
	s, err := newSite(config)
	defer s.close()
	if err != nil {
		return Report{}, err
	}
	if !s.await(ctx, readyTime, s.allServe) {
		s.ledger.breach("recovery: not all VMs serve %s after their start", readyTime)
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for n := range config.Sessions {
		callers.Go(func() { s.caller(n).run(stop) })
	}
	inject := &injector{site: s, random: rand.New(rand.NewPCG(config.Seed, 1))}
	faults := inject.plan(config.For)
	s.play(ctx, faults)
	s.calm()
	if !s.await(ctx, recoverTime, s.allServe) {
		s.ledger.breach("recovery: not all VMs serve %s after the last fault", recoverTime)
	}
	close(stop)
	callers.Wait()
	s.withdrawKey(ctx)
	time.Sleep(settleTime)
	s.audit()
	return s.report(faults), ctx.Err()
}

func (s *site) caller(n int) *caller {
	c := &caller{site: s, name: fmt.Sprintf("s%d", n), random: rand.New(rand.NewPCG(s.config.Seed, uint64(n)+100)), team: teamBuilders, key: keyBuilders}
	if n%4 == 3 {
		c.team, c.key = teamCrew, keyCrew
	}
	return c
}

// play begins and ends the faults at their times.
func (s *site) play(ctx context.Context, faults []fault) {
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

// calm ends whatever still goes wrong.
func (s *site) calm() {
	s.rows.SetFaults(stand.RowsFaults{})
	for _, proxy := range s.stores {
		proxy.Set(LinkFaults{})
	}
	for _, links := range s.links {
		for _, proxy := range links {
			proxy.Set(LinkFaults{})
		}
	}
	for g, cluster := range s.clusters {
		for d := range domains {
			cluster.SetFaults(model.InstanceName(fmt.Sprintf("i-%d-%d", g, d)), stand.DatabaseFaults{})
		}
	}
}

func (s *site) await(ctx context.Context, limit time.Duration, done func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until) && ctx.Err() == nil; time.Sleep(lookPause) {
		if done() {
			return true
		}
	}
	return false
}

// allServe tells whether a write succeeds through each VM for each group.
func (s *site) allServe() bool {
	for _, vm := range s.vms {
		for g := range s.config.Groups {
			if !s.serves(vm, g) {
				return false
			}
		}
	}
	return true
}

func (s *site) serves(vm *process, g int) bool {
	n := s.ids.Add(1)
	c := &caller{
		site: s, name: fmt.Sprintf("probe%d", n), random: rand.New(rand.NewPCG(s.config.Seed, uint64(n))), team: teamBuilders, key: keyBuilders,
		route: route{name: fmt.Sprintf("revise-%d", g), group: groupName(g)},
	}
	if c.open(vm) != nil {
		return false
	}
	defer c.hangUp()
	before := s.ledger.acknowledged(c.item, time.Now())
	return c.write() == nil && s.ledger.acknowledged(c.item, time.Now()) > before
}

// withdrawKey takes the key of the crew away; soon no VM accepts it any more.
func (s *site) withdrawKey(ctx context.Context) {
	const changed = 2
	s.operate(changed, keyBuilders, "key-crew-2")
	refused := func() bool {
		for _, vm := range s.vms {
			c := &caller{site: s, name: "former", team: teamCrew, key: keyCrew, route: s.routes()[0]}
			if c.open(vm) == nil {
				c.hangUp()
				return false
			}
		}
		return true
	}
	if !s.await(ctx, inForceTime, refused) {
		s.ledger.breach("settings: a key that was withdrawn is accepted after %s", inForceTime)
	}
}

// role returns what an instance believes itself to be.
func (s *site) role(i model.Instance) model.Role {
	for g, cluster := range s.clusters {
		if name, _ := cluster.Primary(); groupName(g) == i.Group && name == i.Name {
			return model.RolePrimary
		}
	}
	return model.RoleReplica
}

// audit checks what is kept against what callers were told.
func (s *site) audit() {
	for _, vm := range s.vms {
		vm.mu.Lock()
		for _, surprise := range vm.surprises {
			s.ledger.breach("process: %s", surprise)
		}
		vm.mu.Unlock()
	}
	for _, cluster := range s.clusters {
		for _, breach := range cluster.OrderBreaches() {
			s.ledger.breach("cluster: %s", breach)
		}
	}
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	s.checkPromotions()
	for item, versions := range s.ledger.items {
		for _, v := range versions {
			s.checkKept(item, v)
		}
	}
	s.ledger.checkRates(teamCrew, crewRate, crewRate)
}

// checkPromotions checks that no promotion cut off a commit of which the caller was told. An instance may have acknowledged more, to a
// VM that had confirmed before that it uses the old primary no longer and told its caller that the outcome is open.
func (s *site) checkPromotions() {
	for _, cluster := range s.clusters {
		for _, id := range cluster.Lost() {
			if s.ledger.confirmed[id] {
				s.ledger.note("cluster: the commit %s was acknowledged to its caller, and a promotion cut it off", id)
			}
		}
	}
}

func (s *site) checkKept(item string, v version) {
	count := 0
	for _, cluster := range s.clusters {
		count += cluster.Count(v.id)
	}
	switch {
	case v.outcome == outcomeAcked && count == 0:
		s.ledger.note("lost: %s (%s) was acknowledged and is not kept", v.value, v.id)
	case v.outcome == outcomeRefused && count > 0:
		s.ledger.note("kept: %s (%s) was refused or rolled back and is kept", v.value, v.id)
	case count > 1:
		s.ledger.note("twice: %s (%s) of %s is kept %d times", v.value, v.id, item, count)
	}
}

// checkRates checks the operations of a team in every window, under the lock.
func (l *ledger) checkRates(team model.TeamName, rate, burst float64) {
	allowed := int((rate*quotaWindow.Seconds()+burst)*quotaExcess) + slack
	times := l.arrivals[team]
	sort.Slice(times, func(a, b int) bool { return times[a].Before(times[b]) })
	from := 0
	for to := range times {
		for times[to].Sub(times[from]) > quotaWindow {
			from++
		}
		if to-from+1 > allowed {
			l.note("rate: %d operations of %s in %s, %d are allowed", to-from+1, team, quotaWindow, allowed)
			return
		}
	}
}

func (s *site) report(faults []fault) Report {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	r := Report{
		Breaches: s.ledger.breaches, Acknowledged: s.ledger.told[outcomeAcked], Refused: s.ledger.told[outcomeRefused], Open: s.ledger.told[outcomeOpen],
	}
	for _, f := range faults {
		r.Faults = append(r.Faults, fmt.Sprintf("%6.2f s to %6.2f s  %s", f.at.Seconds(), (f.at+f.length).Seconds(), f.name))
	}
	return r
}

// MakeDir returns a new directory for settings and logs below a parent, or below the system's own where that is empty.
func MakeDir(parent string, seed uint64) (string, error) {
	return os.MkdirTemp(parent, fmt.Sprintf("soak-%d-", seed))
}
