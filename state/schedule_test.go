package state

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/model"
)

const (
	// runSchedules is the number of random schedules unless schedulesVariable sets another.
	runSchedules      = 800
	schedulesVariable = "CROCUSSHORE_SCHEDULES"
	runVMs            = 4
	runLength         = 12 * time.Second
	runStep           = 20 * time.Millisecond
	waitSlack         = time.Second
	maxDelay          = 900 * time.Millisecond
)

// rule is how a replacement decides that every lease on the old primary has ended; the test must detect a broken rule.
type rule struct {
	name string
	// wait is how long the replicas must have been paused if a VM did not confirm.
	wait time.Duration
	// allReplicas requires all replicas to be paused, not only one. allVMs requires the releases of all VMs, not only of a majority.
	allReplicas, allVMs bool
	// confirms makes a VM record its confirmation before it sends it.
	confirms bool
}

var correctRule = rule{name: "correct", wait: leaseTTL + waitSlack, allReplicas: true, allVMs: true, confirms: true}

// schedule simulates VMs, a store, two replicas and one replacement in virtual time.
type schedule struct {
	t       *testing.T
	random  *rand.Rand
	rule    rule
	now     time.Time
	caches  []*Cache
	events  []event
	intent  bool
	version int64
	paused  [2]bool
	// partitioned holds which VMs are partitioned from the store, the other VMs and the VM that replaces the primary; unreachable holds
	// which replicas a VM does not reach, and unreachableToReplacement which replicas the replacement does not reach.
	partitioned              [runVMs]bool
	unreachable              [runVMs][2]bool
	unreachableToReplacement [2]bool
	released                 [runVMs]bool
	announcedAt              time.Time
	pausedAt                 time.Time
	promoted                 bool
	// sent holds the leases under which each VM has statements that are not answered yet.
	sent [runVMs][]Lease
}

// event is a message that arrives at a later time.
type event struct {
	at time.Time
	do func()
}

func (s *schedule) arriveLater(do func()) {
	delay := time.Duration(s.random.Int64N(int64(maxDelay) / 8))
	if s.random.IntN(6) == 0 {
		delay = time.Duration(s.random.Int64N(int64(maxDelay)))
	}
	s.events = append(s.events, event{at: s.now.Add(delay), do: do})
}

func (s *schedule) deliver() {
	var rest []event
	due := s.events
	s.events = nil
	for _, e := range due {
		if e.at.After(s.now) {
			rest = append(rest, e)
		} else {
			e.do()
		}
	}
	s.events = append(rest, s.events...)
}

func (s *schedule) rows() []model.StoredRow {
	var next *Intent
	if s.intent {
		next = &Intent{Term: 2}
	}
	row := primaryRow(s.t, s.version, 1, next)
	rows := []model.StoredRow{row}
	for i := range runVMs {
		r, err := VM{Name: model.VMID(fmt.Sprint(i)), Boot: "boot"}.Row()
		require.NoError(s.t, err)
		r.Version = 1
		rows = append(rows, r)
	}
	return rows
}

func newSchedule(t *testing.T, seed uint64, r rule) *schedule {
	s := &schedule{t: t, random: rand.New(rand.NewPCG(seed, 5)), rule: r, now: at(0), version: 5}
	for i := range runVMs {
		cache := New(Config{VM: model.VMID(fmt.Sprint(i)), Boot: "boot", LeaseTTL: leaseTTL})
		cache.ApplyInstances(1, true, []model.Instance{{Name: "p", Group: "g", Address: netip.MustParseAddrPort("10.0.0.1:1")}}, nil, time.Time{})
		s.caches = append(s.caches, cache)
	}
	return s
}

// poll reads the rows from the store. The answer holds the rows as of the moment at which the store answers, and arrives later.
func (s *schedule) poll(i int) {
	sentAt := s.now
	s.arriveLater(func() {
		if s.partitioned[i] {
			return
		}
		rows, version := s.rows(), s.version
		s.arriveLater(func() { require.NoError(s.t, s.caches[i].ApplyRows(version, true, rows, sentAt)) })
	})
}

// askPeer asks another VM, whose cached table may be stale.
func (s *schedule) askPeer(i, j int) {
	sentAt := s.now
	s.arriveLater(func() {
		if s.partitioned[i] != s.partitioned[j] || s.caches[j].TableVersion() == 0 {
			return
		}
		peer := s.caches[j]
		age := s.now.Sub(peer.TableCurrentAt())
		record, version := peer.Snapshot().Primaries["g"], peer.TableVersion()
		row, err := record.Row()
		require.NoError(s.t, err)
		rows := []model.StoredRow{row}
		for _, vm := range peer.Snapshot().VMs {
			r, err := vm.Row()
			require.NoError(s.t, err)
			rows = append(rows, r)
		}
		s.arriveLater(func() { require.NoError(s.t, s.caches[i].ApplyRows(version, true, rows, sentAt.Add(-age))) })
	})
}

// askReplica asks a replica, which answers unless it is paused.
func (s *schedule) askReplica(i, replica int) {
	sentAt := s.now
	s.arriveLater(func() {
		if s.unreachable[i][replica] || s.paused[replica] {
			return
		}
		s.arriveLater(func() { s.caches[i].RecordTermCheck("g", 1, sentAt) })
	})
}

// replace runs a step of the replacement: announce, ask for releases, pause the replicas, and promote when the rule allows it.
func (s *schedule) replace() {
	if !s.intent {
		s.intent = true
		s.version++
		s.announcedAt = s.now
	}
	for i := range runVMs {
		version := s.version
		s.arriveLater(func() {
			if s.partitioned[i] {
				return
			}
			s.caches[i].Revoke("g", version)
			s.arriveLater(func() { s.confirm(i, version) })
		})
	}
	for replica := range s.paused {
		if s.unreachableToReplacement[replica] {
			continue
		}
		s.paused[replica] = true
	}
	paused := s.paused[0] && s.paused[1]
	if !s.rule.allReplicas {
		paused = s.paused[0] || s.paused[1]
	}
	if paused && s.pausedAt.IsZero() {
		s.pausedAt = s.now
	}
	if s.allReleased() || (!s.pausedAt.IsZero() && s.now.Sub(s.pausedAt) >= s.rule.wait) {
		s.promoted = true
	}
}

// confirm sends a VM's confirmation that it stopped using the primary; the delay before it stands for the wait for pending answers.
func (s *schedule) confirm(i int, version int64) {
	if s.rule.confirms {
		s.caches[i].Confirm("g", version)
	}
	s.arriveLater(func() { s.released[i] = true })
}

// send starts a statement that may commit, if the VM may use the primary.
func (s *schedule) send(i int) {
	if lease, ok := s.caches[i].Lease(s.now, "g"); ok && lease.Term == 1 {
		s.sent[i] = append(s.sent[i], lease)
	}
}

// acknowledges reports whether a VM would forward an answer as committed now.
func (s *schedule) acknowledges(i int) bool {
	for _, lease := range s.sent[i] {
		if s.caches[i].MayAcknowledge(s.now, lease) {
			return true
		}
	}
	return false
}

func (s *schedule) allReleased() bool {
	count := 0
	for _, released := range s.released {
		if released {
			count++
		}
	}
	if !s.rule.allVMs {
		return count > runVMs/2
	}
	return count == runVMs
}

// runUntilViolation runs the schedule and reports whether a VM could use the old primary, or forward an answer from it as committed, after
// the promotion took effect.
func (s *schedule) runUntilViolation() bool {
	start := at(1000 + s.random.IntN(3000))
	for ; s.now.Before(at(0).Add(runLength)); s.now = s.now.Add(runStep) {
		s.deliver()
		for i := range runVMs {
			s.act(i)
		}
		if !s.now.Before(start) && !s.promoted && s.random.IntN(10) == 0 {
			s.replace()
		}
		if s.promoted {
			for i, cache := range s.caches {
				if lease, ok := cache.Lease(s.now, "g"); (ok && lease.Term == 1) || s.acknowledges(i) {
					return true
				}
			}
		}
	}
	return false
}

func (s *schedule) act(i int) {
	switch s.random.IntN(40) {
	case 0, 1:
		s.poll(i)
	case 2, 3:
		s.askPeer(i, s.random.IntN(runVMs))
	case 4, 5:
		s.askReplica(i, s.random.IntN(2))
	case 6:
		s.partitioned[i] = s.random.IntN(2) == 0
	case 7:
		s.unreachable[i][s.random.IntN(2)] = s.random.IntN(2) == 0
	case 8:
		s.unreachableToReplacement[s.random.IntN(2)] = s.random.IntN(3) == 0
	case 9, 10:
		s.send(i)
	}
}
