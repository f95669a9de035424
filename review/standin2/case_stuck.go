//go:build review2

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/platform"
	"github.com/crocusshore/crocusshore/policy"
)

const (
	// recovery is RecoveryS of cbt-fermes.
	recovery = 12 * time.Second
	// absence is the time after the loss of a replica in which its registration is removed, after three check-ins, and counts as gone.
	absence = 9 * time.Second
	// firstAway and secondAway are the times for which the processes of two machines are away.
	firstAway  = 3500 * time.Millisecond
	secondAway = 3 * time.Second
	// releaseAfter is the time between the end of the first process and the draining report, and killAfter that between the report and the end of
	// the process that replaces the primary.
	releaseAfter = 500 * time.Millisecond
	killAfter    = 1500 * time.Millisecond
	// drainExit is the time between the draining report and the end of the instance.
	drainExit = 9 * time.Second
	// judged is the time after recovery in which requests are counted.
	judged = 40 * time.Second
)

// stuckCase replaces the primary as planned work. With the disruption, a replica has been lost for good before, one machine is away, and the process that
// replaces the primary is killed.
func stuckCase(s *site, trouble bool) error {
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
	counters := make([]*counter, len(s.vms))
	for n, m := range s.vms {
		counters[n] = s.count(m, quotesDatabase)
	}
	time.Sleep(time.Second)
	before := total(counters)
	if trouble {
		s.lose(v.members[2])
	}
	time.Sleep(absence)
	v.mu.Lock()
	old := v.leader()
	v.mu.Unlock()
	away := s.vms[2]
	var back chan error
	if trouble {
		back = s.killFor(away, firstAway)
		time.Sleep(releaseAfter)
	}
	v.mu.Lock()
	old.leaving = true
	v.mu.Unlock()
	s.register(old)
	s.record("release: %s drains", old.name)
	time.AfterFunc(drainExit, func() { s.transfer(old) })
	if trouble {
		time.Sleep(killAfter)
		holder, err := s.replacing(name)
		if err != nil {
			return err
		}
		if err := <-s.killFor(holder, secondAway); err != nil {
			return err
		}
		if err := <-back; err != nil {
			return err
		}
	}
	s.record("all machines are back")
	time.Sleep(recovery)
	start := total(counters)
	time.Sleep(judged)
	end := total(counters)
	for _, c := range counters {
		close(c.stop)
	}
	sent, served := end.sent-start.sent, end.served-start.served
	s.record("before the disruption: %d of %d requests served; later than %s after the machines are back: %d of %d", before.served, before.sent, recovery, served, sent)
	if before.served*4 < before.sent || sent == 0 {
		return errors.New("too few requests were served before")
	}
	if served*4 < sent {
		return fmt.Errorf("%w: RECOVER: %d of %d requests were served that were sent later than %s after the machines were back", errBroken, served, sent, recovery)
	}
	return nil
}

// counts are the requests that were sent and those that were served.
type counts struct{ sent, served int64 }

// counter sends requests through a machine until it is stopped.
type counter struct {
	sent, served atomic.Int64
	stop         chan struct{}
}

func total(counters []*counter) (all counts) {
	for _, c := range counters {
		all.sent += c.sent.Load()
		all.served += c.served.Load()
	}
	return all
}

// count writes and reads by turns through a machine. A request that finds no session counts as sent.
func (s *site) count(m *vm, database string) *counter {
	counter := &counter{stop: make(chan struct{})}
	go func() {
		var c *client
		for n := 0; ; n++ {
			select {
			case <-counter.stop:
				if c != nil {
					c.close()
				}
				return
			case <-time.After(50 * time.Millisecond):
			}
			counter.sent.Add(1)
			if c == nil {
				if c, _ = open(m, database, key); c == nil {
					s.record("requester: no session through %s", m.name)
					continue
				}
			}
			text := fmt.Sprintf("WRITE %s %d", m.name, n)
			if n%2 == 1 {
				text = "READ " + m.name
			}
			id, r, err := c.do(text)
			s.record("requester: id=%s %s through %s: rows=%q proof=%q fault=%q error=%v", id, text, m.name, r.rows, r.proof, r.fault, err)
			switch {
			case err != nil:
				c.close()
				c = nil
			case r.fault == "":
				counter.served.Add(1)
			}
		}
	}()
	return counter
}

// lose ends an instance for good. Its registration is removed after three check-ins of silence.
func (s *site) lose(d *database) {
	d.kill()
	s.record("%s is lost for good", d.name)
	time.AfterFunc(3*heartbeat, func() { s.unregister(d.name) })
}

func (s *site) unregister(name string) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.version++
	s.store.set(model.StoredRow{Table: platform.TableInstances, Key: name, Version: s.store.version, Removed: true})
	s.store.changed.Broadcast()
	s.record("the registration of %s is removed", name)
}

// transfer ends an instance that drains. Its log is transferred to a new instance at its address.
func (s *site) transfer(d *database) {
	d.kill()
	before := d.name
	s.unregister(before)
	d.service.mu.Lock()
	d.name, d.leaving, d.seq, d.born = before+"+", false, 0, time.Now().UnixMilli()
	d.service.mu.Unlock()
	s.register(d)
	d.service.mu.Lock()
	d.down = false
	d.service.mu.Unlock()
	s.record("%s has ended; %s has its log, at its address", before, d.name)
}

// replacing returns the machine that last announced the replacement of the primary of a service: the one that wrote last under a condition.
func (s *site) replacing(service string) (*vm, error) {
	holder := nextHolder(s.store.row("crocusshore", "lead/"+service).Value)
	for _, m := range s.vms {
		if m.name == holder {
			return m, nil
		}
	}
	return nil, errors.New("no machine is replacing the primary")
}

// killFor ends the process of a machine with SIGKILL and starts it again after a while.
func (s *site) killFor(m *vm, away time.Duration) chan error {
	_ = m.command.Process.Kill()
	<-m.ended
	back := make(chan error, 1)
	time.AfterFunc(away, func() {
		if err := s.start(m); err != nil {
			back <- err
			return
		}
		back <- m.awaitReady(20 * time.Second)
	})
	return back
}

// nextHolder returns the holder in the announcement of a replacement, which a row of the system holds.
func nextHolder(row []byte) string {
	var record struct{ Next struct{ Holder string } }
	_ = json.Unmarshal(row, &record)
	return record.Next.Holder
}
