package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/peers"
	"github.com/crocusshore/crocusshore/place"
	"github.com/crocusshore/crocusshore/reach"
	"github.com/crocusshore/crocusshore/state"
	"github.com/crocusshore/crocusshore/watch"
)

type (
	// contactConfig holds the settings and dependencies of a contactMonitor.
	contactConfig struct {
		Domain   model.Domain
		Rankings *state.Rankings
		Prober   *peers.Prober
		Cache    *state.Cache
		Watcher  *watch.Watcher
		Tracker  *place.Tracker
		Log      *log.Logger
		Metrics  tally.Scope
	}

	// contactMonitor probes VMs of other failure domains: continuously at the reader of the failure domain, and at any VM once the failure domain
	// is lost.
	contactMonitor struct {
		config         contactConfig
		lost, isolated tally.Gauge
		// own is what this VM, as the reader, reports to the others.
		own *lostView
		// wake ends the wait for the next round.
		wake chan struct{}

		// The following are used by the goroutine of the rounds only.
		detector reach.DomainDetector
		check    reach.Check
		// lostSince is when this VM, as the reader, found the failure domain lost.
		lostSince time.Time
		// checkCount counts the rounds of checks; see checked.
		checkCount int

		mu       sync.Mutex
		reported *peers.LostDomain // What the reader last told this VM.
	}
)

func newContactMonitor(config contactConfig) *contactMonitor {
	return &contactMonitor{
		config: config, own: newLostView(), wake: make(chan struct{}, 1),
		lost: config.Metrics.Gauge("domain_lost"), isolated: config.Metrics.Gauge("isolated"),
	}
}

// KnowsLost reports whether the reader last told this VM that the failure domain is lost.
func (m *contactMonitor) KnowsLost() bool { return m.reportedLost() != nil }

// RecordLost records what the reader told this VM, and starts a check without delay if the failure domain has become lost.
func (m *contactMonitor) RecordLost(lost *peers.LostDomain) {
	m.mu.Lock()
	became := lost != nil && m.reported == nil
	m.reported = lost
	m.mu.Unlock()
	if !became {
		return
	}
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *contactMonitor) reportedLost() *peers.LostDomain {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reported
}

// await waits for an interval, or until the failure domain becomes lost, and reports whether the context goes on.
func (m *contactMonitor) await(ctx context.Context, interval time.Duration) bool {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-m.wake:
		return true
	case <-ctx.Done():
		return false
	}
}

// round ends a round of probes and sends the next, if this VM is the reader or checks whether it is isolated. It reports whether the probes show that the
// VM is isolated.
func (m *contactMonitor) round(now time.Time, reader bool) bool {
	lost := m.reportedLost()
	if !reader && lost == nil && !m.check.Running() && m.own.get() == nil {
		m.detector = reach.DomainDetector{}
		m.check.Learn(false)
		return false
	}
	contact, targets := m.contact(now), m.targets(now)
	answered := m.config.Prober.HasAnswered
	if reader {
		lost = m.findLost(now, contact, targets)
		m.config.Prober.Send(now, targets.VMs())
	} else {
		m.publish(now, nil)
		m.detector = reach.DomainDetector{}
		answered = func(vm state.VM) bool { return lost != nil && slices.Contains(lost.Silent, vm.Name) }
	}
	m.check.Learn(lost != nil)
	isolated := m.check.Round(now, contact, targets.Conclusive(answered))
	if m.check.Running() {
		m.config.Prober.Send(now, m.checked(now, reader, targets))
	}
	return isolated
}

// findLost ends and begins a round of the reader, and returns what it tells the other VMs.
func (m *contactMonitor) findLost(now time.Time, contact reach.Contact, targets reach.Targets) *peers.LostDomain {
	if !m.detector.Round(now, contact, targets.Conclusive(m.config.Prober.HasAnswered)) {
		m.publish(now, nil)
		return nil
	}
	if lost := m.own.get(); lost != nil {
		return lost
	}
	lost := &peers.LostDomain{}
	for _, vm := range targets.VMs() {
		if m.config.Prober.HasAnswered(vm) {
			lost.Silent = append(lost.Silent, vm.Name)
		}
	}
	m.config.Log.Warn("failure domain lost", "domain", m.config.Domain, "silent", lost.Silent, "answer-age", now.Sub(contact.AnsweredAt),
		"store-age", now.Sub(contact.StoreAt))
	m.publish(now, lost)
	return lost
}

// publish sets what this VM reports to the others about the failure domain.
func (m *contactMonitor) publish(now time.Time, lost *peers.LostDomain) {
	before := m.own.get()
	m.own.set(lost)
	switch {
	case lost != nil && before == nil:
		m.lostSince = now
		m.lost.Update(1)
	case lost == nil && before != nil:
		m.lost.Update(0)
		m.config.Log.Info("failure domain found again", "domain", m.config.Domain, "after", now.Sub(m.lostSince).Round(time.Millisecond))
	}
}

// updateGauge sets the metric for whether this VM is isolated by any rule.
func (m *contactMonitor) updateGauge(isolated bool) {
	value := 0.0
	if isolated {
		value = 1
	}
	m.isolated.Update(value)
}
