//go:build review2

package main

import (
	"fmt"
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
)

// storeAway is how long the store is away in the drill.
const storeAway = time.Second

// eraCase replaces the primaries of two services as planned work, one after the other, and adds a machine. With the disruption, the store comes back from
// a copy before the last replacement.
func eraCase(s *site, trouble bool) error {
	names := []string{"bd-1", "bd-2"}
	s.policy = func() *policy.Policy {
		p := onePolicy(names, names[0], policy.ConsistencyPrimary)
		route := p.Routes[quotesDatabase]
		for _, name := range names {
			route.Name, route.Database, route.Group = model.RouteName("r-"+name), name, model.GroupName(name)
			p.Routes[name] = route
		}
		return p
	}
	for _, name := range names {
		if _, err := s.addService(name, zones, "a", drawLag); err != nil {
			return err
		}
	}
	if err := s.putConfig(); err != nil {
		return err
	}
	for _, zone := range zones[:2] {
		if _, err := s.addVM("front-"+zone, zone); err != nil {
			return err
		}
	}
	for _, m := range s.vms {
		if err := m.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	for _, name := range names {
		if err := writeOnce(s, s.vms[0], name, "before"); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second)
	p := newProbe(s)
	defer p.end()
	p.write(s.vms[0], names[0])
	time.Sleep(500 * time.Millisecond)
	kept := s.store.takeCopy()
	for _, n := range []int{0, 1, 0} {
		if err := s.release(s.services[n], 30*time.Second); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	if trouble {
		s.store.setAway()
		s.record("store: away")
		time.Sleep(storeAway)
		s.store.restore(kept)
		s.record("store: back from a copy that is %.1f s old, Store-Era %d", time.Since(kept.takenAt).Seconds(), s.store.era)
		s.registerAll()
		if err := s.putConfigAgain(); err != nil {
			return err
		}
	} else {
		time.Sleep(storeAway)
	}
	m, err := s.addVM("front-c", "c")
	if err != nil {
		return err
	}
	p.read(m, names[0])
	if err := m.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if err := s.release(s.services[1], 60*time.Second); err != nil {
		s.record("%v", err)
	}
	for n, first := range s.allOrders() {
		for _, second := range s.allOrders()[n+1:] {
			if first.fence == second.fence && first.holder != second.holder {
				return fmt.Errorf("%w: ONE: %s and %s both promoted with the fence number %d", errBroken, first.holder, second.holder, first.fence)
			}
			if second.fence < first.fence {
				return fmt.Errorf("%w: ONE: %s promoted with the fence number %d after %d", errBroken, second.holder, second.fence, first.fence)
			}
		}
	}
	return nil
}

func writeOnce(s *site, m *vm, database, value string) error {
	c, err := open(m, database, key)
	if err != nil {
		return err
	}
	defer c.close()
	return c.write(s, "item", value)
}

// release replaces the primary of a service as planned work: a new instance starts, the old one reports that it drains, and another one is to lead. It
// returns an error if that takes too long.
func (s *site) release(v *service, longest time.Duration) error {
	v.mu.Lock()
	old := v.leader()
	v.mu.Unlock()
	if err := s.addInstance(v, old.name+"+", old.zone, false); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	v.mu.Lock()
	old.leaving = true
	v.mu.Unlock()
	s.register(old)
	s.record("release: %s drains", old.name)
	for until := time.Now().Add(longest); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		v.mu.Lock()
		leader := v.leader()
		v.mu.Unlock()
		if leader != nil && leader != old {
			return nil
		}
	}
	return fmt.Errorf("service %s has no new primary after %s", v.name, longest)
}
