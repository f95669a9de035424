package node

import (
	"math/rand/v2"
	"time"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/reach"
	"github.com/crocusshore/crocusshore/state"
	"github.com/crocusshore/crocusshore/watch"
)

// probedVMs is how many VMs of each other failure domain are probed in a round.
const probedVMs = 2

// targets returns the VMs of each other failure domain that rank first as readers.
func (m *contactMonitor) targets(now time.Time) reach.Targets {
	var targets reach.Targets
	for _, ranked := range m.otherDomains(now) {
		targets = append(targets, ranked[:min(probedVMs, len(ranked))])
	}
	return targets
}

// otherDomains returns the VMs of each other failure domain in the order in which they rank as readers.
func (m *contactMonitor) otherDomains(now time.Time) [][]state.VM {
	var others [][]state.VM
	for _, domain := range m.config.Rankings.Domains(now) {
		if domain != m.config.Domain {
			others = append(others, m.config.Rankings.Of(now, domain, watch.ReaderRankKey))
		}
	}
	return others
}

// checked returns the VMs that a round of a check goes to. Rounds to the VMs that the reader probes alternate with rounds to any VMs, since the
// former may have failed. The reader checks only with any VMs, since its own rounds go to the former.
func (m *contactMonitor) checked(now time.Time, reader bool, targets reach.Targets) []state.VM {
	m.checkCount++
	if !reader && m.checkCount%2 == 1 {
		return targets.VMs()
	}
	var vms []state.VM
	for _, ranked := range m.otherDomains(now) {
		for _, i := range rand.Perm(len(ranked))[:min(probedVMs, len(ranked))] {
			vms = append(vms, ranked[i])
		}
	}
	return vms
}

// contact returns the newest evidence of contact with what lies outside the failure domain. Answers of instances matter only if no probe was answered.
func (m *contactMonitor) contact(now time.Time) reach.Contact {
	c := reach.Contact{
		AnsweredAt: m.config.Prober.AnsweredAt(),
		StoreAt:    clock.Later(m.config.Watcher.StoreAnsweredAt(), m.config.Cache.TableCurrentAt()),
	}
	if now.Sub(c.AnsweredAt) < reach.RoundInterval {
		return c
	}
	for name, instance := range m.config.Cache.Snapshot().Instances {
		if instance.Domain != m.config.Domain {
			c.AnsweredAt = clock.Later(c.AnsweredAt, m.config.Tracker.Health(now, name).AnsweredAt)
		}
	}
	return c
}
