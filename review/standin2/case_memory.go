//go:build review2

package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
)

const (
	// crowdPerService is the number of sessions of the crowd for each service.
	crowdPerService = 150
	// shapesPerSession is the number of statements that a session prepares and runs once, all under one name.
	shapesPerSession = 195
	// shapeBytes is the length of a prepared shape; with it, a message has less than 4 KiB.
	shapeBytes = 3900
)

// memoryCase lets a crowd of sessions prepare and run many different statements, each in one transaction. Without the disruption, the sessions send as
// many statements of the same size, of one shape.
func memoryCase(s *site, trouble bool) error {
	s.recordsStatements = false
	services := []string{"bd-1", "bd-2", "bd-3"}
	s.policy = func() *policy.Policy {
		p := onePolicy(services, services[0], policy.ConsistencyBounded)
		p.Teams[team] = policy.Team{Name: team, Rate: 200, Burst: 500}
		route := p.Routes[quotesDatabase]
		for _, name := range services {
			route.Name, route.Database, route.Group = model.RouteName("r-"+name), name, model.GroupName(name)
			route.Timeout = 2 * time.Second
			p.Routes[name] = route
		}
		return p
	}
	for _, name := range services {
		if _, err := s.addService(name, zones, "a", drawLag); err != nil {
			return err
		}
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
	m := s.vms[1]
	for _, name := range services {
		c, err := open(m, name, key)
		if err != nil {
			return err
		}
		err = c.write(s, "item", "value")
		c.close()
		if err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second)
	limit := s.ram << 20
	s.record("%s has %d MB; its process has used %d MB at most so far", m.name, s.ram, peakMemory(m.command.Process.Pid)>>20)
	var ran, failed atomic.Int64
	stop := make(chan struct{})
	var crowd, filled sync.WaitGroup
	for _, name := range services {
		for n := range crowdPerService {
			filled.Add(1)
			crowd.Go(func() {
				begin := "BEGIN READ"
				if n < crowdPerService/4 {
					begin = "BEGIN"
				}
				ok := fill(m, name, begin, trouble, fmt.Sprintf("%s-%d", name, n), &ran, filled.Done, stop)
				if !ok {
					failed.Add(1)
				}
			})
		}
	}
	done := make(chan struct{})
	go func() { filled.Wait(); close(done) }()
	broken := false
	for until, full := time.Now().Add(70*time.Second), false; time.Now().Before(until) && !full; time.Sleep(500 * time.Millisecond) {
		select {
		case <-done:
			full = true
		case <-m.ended:
			full, broken = true, true
		default:
		}
		peak := peakMemory(m.command.Process.Pid)
		s.record("crowd: %d statements answered, %d sessions refused or ended; %s has used %d MB at most", ran.Load(), failed.Load(), m.name, peak>>20)
		broken = broken || peak > limit
	}
	close(stop)
	crowd.Wait()
	s.record("the crowd has gone; ordinary request: %s", ordinary(m, services[0]))
	if ran.Load() < 1000 {
		return fmt.Errorf("only %d statements of the crowd were answered", ran.Load())
	}
	if broken {
		return fmt.Errorf("%w: Fault: %s has %d MB, its process used %d MB", errBroken, m.name, s.ram, peakMemory(m.command.Process.Pid)>>20)
	}
	return nil
}

// fill runs one session of the crowd: a transaction in which it prepares and runs many statements. It then keeps the transaction open until all have
// done so.
func fill(m *vm, database, begin string, different bool, name string, ran *atomic.Int64, filled func(), stop <-chan struct{}) (ok bool) {
	filled = sync.OnceFunc(filled)
	defer filled()
	c, err := open(m, database, key)
	if err != nil {
		return false
	}
	defer c.close()
	if !c.begin(begin) {
		return false
	}
	for n := range shapesPerSession {
		shape := name + " "
		if different {
			shape += fmt.Sprintf("%d ", n)
		}
		shape += strings.Repeat("x", shapeBytes-len(shape))
		if _, r, err := c.do("PREPARE s READ " + shape); err != nil || r.fault != "" {
			return false
		}
		if _, r, err := c.do("EXEC s item"); err != nil || r.fault != "" {
			return false
		}
		ran.Add(2)
	}
	filled()
	for {
		select {
		case <-stop:
			_, _, _ = c.do("ROLLBACK")
			return true
		case <-time.After(time.Second):
			if _, r, err := c.do("READ item"); err != nil || r.fault != "" {
				return false
			}
		}
	}
}

// begin begins a transaction. A session that is refused tries again, as one over the rate of its tenant is.
func (c *client) begin(text string) bool {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		_, r, err := c.do(text)
		switch {
		case err != nil:
			return false
		case r.fault == "":
			return true
		}
	}
	return false
}

// ordinary sends one request of an ordinary caller and returns what came of it.
func ordinary(m *vm, database string) string {
	c, err := open(m, database, key)
	if err != nil {
		return err.Error()
	}
	defer c.close()
	_, r, err := c.do("READ item")
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("rows=%v fault=%q", r.rows, r.fault)
}
