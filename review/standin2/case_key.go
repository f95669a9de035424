//go:build review2

package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/crocusshore/crocusshore/policy"
)

const (
	// otherKey is a second key of the tenant, which stays.
	otherKey = "key-office"
	// keySessions is the number of transactions that are open while the key is withdrawn.
	keySessions = 10
	// keyReads is the number of reads of a transaction, with a pause between two of them. With BEGIN, the write and COMMIT, it has twelve statements.
	keyReads = 9
	keyPause = 900 * time.Millisecond
	// configApply is ConfigApplyMs of cbt-fermes.
	configApply = 3 * time.Second
)

// keyResult is what one session did later than configApply after the confirmation.
type keyResult struct {
	reads, writes int
	refused       string
}

// keyCase withdraws a key while transactions of its holders are open.
func keyCase(s *site, trouble bool) error {
	name := "bd-1"
	withdrawn := false
	s.policy = func() *policy.Policy {
		p := onePolicy([]string{name}, name, policy.ConsistencyPrimary)
		p.Keys[otherKey] = team
		if withdrawn {
			delete(p.Keys, key)
		}
		return p
	}
	if _, err := s.addService(name, zones, "a", drawLag); err != nil {
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
	time.Sleep(5 * time.Second) // Longer than ContactMs.
	office, err := open(s.vms[0], quotesDatabase, otherKey)
	if err != nil {
		return err
	}
	defer office.close()
	if err := office.write(s, "price", "before-the-withdrawal"); err != nil {
		return err
	}
	confirmed := make(chan time.Time, keySessions)
	var opened, all sync.WaitGroup
	opened.Add(keySessions)
	results := make([]keyResult, keySessions)
	failures := make([]error, keySessions)
	for n := range keySessions {
		all.Go(func() { results[n], failures[n] = s.keySession(n, opened.Done, confirmed) })
	}
	opened.Wait()
	if trouble {
		withdrawn = true
		if err := s.putConfig(); err != nil {
			return err
		}
	}
	at := time.Now()
	for range keySessions {
		confirmed <- at
	}
	time.Sleep(configApply)
	if err := office.write(s, "price", "after-the-withdrawal"); err != nil {
		return err
	}
	all.Wait()
	if err := errors.Join(failures...); err != nil {
		return err
	}
	reads, writes := 0, 0
	for n, r := range results {
		s.record("session %d: %d reads and %d writes later than %s after the confirmation ran, its next operation: %q", n, r.reads, r.writes, configApply, r.refused)
		reads += r.reads
		writes += r.writes
		if trouble && r.refused != "NOAUTH" {
			return fmt.Errorf("session %d was not refused after its transaction", n)
		}
	}
	if trouble && reads+writes > 0 {
		return fmt.Errorf("%w: CONFIG: %d reads and %d writes ran with a dropped key, sent later than %s after the confirmation", errBroken, reads, writes, configApply)
	}
	return nil
}

// keySession opens a transaction, reports it, and goes on with it after the confirmation.
func (s *site) keySession(n int, opened func(), confirmed <-chan time.Time) (keyResult, error) {
	var r keyResult
	c, err := open(s.vms[n%len(s.vms)], quotesDatabase, key)
	if err == nil {
		defer c.close()
		_, err = c.keyStatement(s, n, "BEGIN")
	}
	if err == nil {
		_, err = c.keyStatement(s, n, "READ price")
	}
	opened()
	at := <-confirmed
	if err != nil {
		return r, err
	}
	for range keyReads - 1 {
		time.Sleep(keyPause)
		late := time.Since(at) > configApply
		answer, err := c.keyStatement(s, n, "READ price")
		if err != nil {
			return r, err
		}
		if late && answer.fault == "" && len(answer.rows) > 0 && answer.proof != "" {
			r.reads++
		}
	}
	late := time.Since(at) > configApply
	answer, err := c.keyStatement(s, n, fmt.Sprintf("WRITE price-%d x", n))
	if err != nil {
		return r, err
	}
	if late && answer.fault == "" && answer.proof != "" {
		r.writes++
	}
	if _, err := c.keyStatement(s, n, "COMMIT"); err != nil {
		return r, err
	}
	answer, err = c.keyStatement(s, n, "READ price")
	r.refused, _, _ = strings.Cut(answer.fault, " ")
	return r, err
}

// keyStatement sends one statement of a session and records its answer.
func (c *client) keyStatement(s *site, n int, text string) (result, error) {
	id, r, err := c.do(text)
	s.record("requester: session %d id=%s %s: rows=%q proof=%q fault=%q error=%v", n, id, text, r.rows, r.proof, r.fault, err)
	return r, err
}
