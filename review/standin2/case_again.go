//go:build review2

package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/crocusshore/crocusshore/policy"
)

// downtime is the time between the end of the instance and its next start.
const downtime = 200 * time.Millisecond

// againCase reads and writes on a route of the type primary. With the disruption, the primary starts again under its id, with nothing of before.
func againCase(s *site, trouble bool) error {
	name := "bd-1"
	s.policy = func() *policy.Policy { return onePolicy([]string{name}, name, policy.ConsistencyPrimary) }
	v, err := s.addService(name, zones, "a", drawLag)
	if err != nil {
		return err
	}
	if err := s.putConfig(); err != nil {
		return err
	}
	for _, zone := range zones {
		if _, err := s.addVM("front-"+zone, zone); err != nil {
			return err
		}
	}
	for _, m := range s.vms {
		if err := m.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second)
	p := newProbe(s)
	p.write(s.vms[0], quotesDatabase)
	for _, m := range s.vms {
		p.read(m, quotesDatabase)
	}
	time.Sleep(time.Second)
	if trouble {
		v.mu.Lock()
		d := v.leader()
		v.mu.Unlock()
		d.kill()
		s.record("%s ended", d.name)
		time.Sleep(downtime)
		d.startAgain()
		s.record("%s has started again", d.name)
	}
	time.Sleep(5 * time.Second)
	p.end()
	if p.acked.Load() == 0 {
		return errors.New("no write was acknowledged")
	}
	if n := p.stale.Load(); n > 0 {
		return fmt.Errorf("%w: STALE: %d reads on a primary route lacked a commit that was acknowledged before", errBroken, n)
	}
	return nil
}
