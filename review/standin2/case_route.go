//go:build review2

package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/policy"
)

const (
	quotesDatabase = "quotes"
	key            = "key-dealers"
	team           = model.TeamName("dealers")
	// routeRounds is the number of sessions, and storms of two versions, of a run.
	routeRounds = 40
	// stormGap is the time between two versions of the config.
	stormGap = 60 * time.Millisecond
	// meanLag, lagSpread and maxLag describe how far the replicas are behind, as in the site file.
	meanLag   = 60 * time.Millisecond
	lagSpread = 0.6
	maxLag    = 360 * time.Millisecond
)

// drawLag draws how far a replica is behind with a commit.
func drawLag() time.Duration {
	median := float64(meanLag) * math.Exp(-lagSpread*lagSpread/2)
	return min(time.Duration(median*math.Exp(lagSpread*rand.NormFloat64())), maxLag)
}

var zones = []string{"a", "b", "c"}

// onePolicy returns a config with one route of a type to a service.
func onePolicy(services []string, target string, consistency policy.Consistency) *policy.Policy {
	p := &policy.Policy{
		TxIdleTimeout: 3 * time.Second, Routes: map[string]policy.Route{}, Groups: map[model.GroupName]policy.Group{},
		Keys: map[string]model.TeamName{key: team}, Teams: map[model.TeamName]policy.Team{team: {Name: team, Rate: 2000, Burst: 2000}},
	}
	for _, name := range services {
		p.Groups[model.GroupName(name)] = policy.Group{Name: model.GroupName(name), MaxConnections: 140, Replicated: true}
	}
	p.Routes[quotesDatabase] = policy.Route{
		Name: "statut-soumission", Database: quotesDatabase, Group: model.GroupName(target), Consistency: consistency, MaxAge: 2500 * time.Millisecond,
		Timeout: 800 * time.Millisecond, TargetLatency: 250 * time.Millisecond, Priority: 2,
	}
	return p
}

// routeCase moves a read_your_writes route to another service and back while a session is open. The session then reads what it wrote before.
func routeCase(s *site, trouble bool) error {
	services := []string{"bd-1", "bd-2"}
	target := services[0]
	s.policy = func() *policy.Policy { return onePolicy(services, target, policy.ConsistencySession) }
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
	time.Sleep(4 * time.Second)
	reader := s.vms[1] // Its failure domain has a replica of both services.
	stale, checked := 0, 0
	for round := range routeRounds {
		lacks, err := routeRound(s, reader, round, trouble, func(to int) error {
			target = services[to]
			return s.putConfig()
		})
		if err != nil {
			s.record("round %d not counted: %v", round, err)
			continue
		}
		checked++
		if lacks {
			stale++
		}
		time.Sleep(700 * time.Millisecond)
	}
	s.record("%d of %d reads lacked a commit that was acknowledged to the same session before", stale, checked)
	switch {
	case checked < routeRounds/2:
		return fmt.Errorf("only %d of %d rounds ran", checked, routeRounds)
	case stale > 0:
		return fmt.Errorf("%w: STALE: %d of %d reads of a session lacked its own commit", errBroken, stale, checked)
	}
	return nil
}

// routeRound runs one session and reports whether its last read lacked its own first commit.
func routeRound(s *site, m *vm, round int, trouble bool, moveTo func(service int) error) (bool, error) {
	c, err := open(m, quotesDatabase, key)
	if err != nil {
		return false, err
	}
	defer c.close()
	item, value := fmt.Sprintf("quote-%d", round), fmt.Sprintf("pitch-%d", round)
	if err := c.write(s, item, value); err != nil {
		return false, err
	}
	if trouble {
		if err := moveTo(1); err != nil {
			return false, err
		}
	}
	movedAt := time.Now()
	if err := c.writeUntil(s, trouble, "bd-2", round); err != nil {
		return false, err
	}
	if trouble {
		time.Sleep(time.Until(movedAt.Add(stormGap)))
		if err := moveTo(0); err != nil {
			return false, err
		}
	}
	return c.readUntil(s, "bd-1", item, value)
}

// write writes an item and requires the acknowledgement.
func (c *client) write(s *site, item, value string) error {
	id, r, err := c.do("WRITE " + item + " " + value)
	if err != nil || r.fault != "" {
		return fmt.Errorf("write %s: %v %s", id, err, r.fault)
	}
	s.record("requester: id=%s WRITE %s %s acknowledged with %s", id, item, value, r.proof)
	return nil
}

// writeUntil writes another item, in a run with the disruption until the service that the route was moved to has run it.
func (c *client) writeUntil(s *site, moved bool, service string, round int) error {
	for n := range 100 {
		id, r, err := c.do(fmt.Sprintf("WRITE other-%d-%d x", round, n))
		if err != nil {
			return err
		}
		if r.fault == "" && (!moved || ranAt(r, service)) {
			s.record("requester: id=%s WRITE other-%d-%d acknowledged with %s", id, round, n, r.proof)
			return nil
		}
		time.Sleep(2 * time.Millisecond)
	}
	return fmt.Errorf("the route did not move to %s", service)
}

// readUntil reads an item, until the service that the route was moved back to has run it, and reports whether the value is missing.
func (c *client) readUntil(s *site, service, item, value string) (bool, error) {
	for range 100 {
		id, r, err := c.do("READ " + item)
		if err != nil {
			return false, err
		}
		if r.fault == "" && ranAt(r, service) && len(r.rows) == 1 {
			s.record("requester: id=%s READ %s gave %q with %s; this session wrote %q", id, item, r.rows[0], r.proof, value)
			return r.rows[0] != value, nil
		}
		time.Sleep(2 * time.Millisecond)
	}
	return false, fmt.Errorf("the route did not move to %s", service)
}

// ranAt reports whether the proof of an answer is that of an instance of a service.
func ranAt(r result, service string) bool {
	return len(r.proof) > len("mac.i-"+service) && r.proof[:len("mac.i-"+service)] == "mac.i-"+service
}
