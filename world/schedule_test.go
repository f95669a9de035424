package world

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
	// runSchedules is how many random schedules are played, unless the variable says otherwise.
	runSchedules      = 800
	schedulesVariable = "CROCUSSHORE_SCHEDULES"
	runVMs            = 4
	runLength         = 12 * time.Second
	runStep           = 20 * time.Millisecond
	runSlack          = time.Second
	mostDelay         = 900 * time.Millisecond
)

// rule is how a replacement decides that every lease on the old primary is over; a broken one must be found out.
type rule struct {
	name string
	// wait is how long the replicas must have been stopped where a VM did not confirm.
	wait time.Duration
	// allReplicas requires all replicas to be stopped, and allVMs that all VMs count.
	allReplicas, allVMs bool
	// confirms records the confirmation before it is sent.
	confirms bool
}

var soundRule = rule{name: "sound", wait: bound + runSlack, allReplicas: true, allVMs: true, confirms: true}

// schedule plays VMs, a store, two replicas and one replacement in virtual time.
type schedule struct {
	t       *testing.T
	random  *rand.Rand
	rule    rule
	now     time.Time
	worlds  []*Cache
	events  []event
	intent  bool
	version int64
	paused  [2]bool
	// cut tells which VMs reach neither store nor peers nor the holder, and blind which replicas the VM does not reach.
	cut         [runVMs]bool
	blind       [runVMs][2]bool
	deaf        [2]bool
	released    [runVMs]bool
	announcedAt time.Time
	pausedAt    time.Time
	effective   bool
	// sent are the leases under which each VM has a statement that is not answered yet.
	sent [runVMs][]Lease
}

// event is something that arrives later.
type event struct {
	at time.Time
	do func()
}

func (s *schedule) later(do func()) {
	delay := time.Duration(s.random.Int64N(int64(mostDelay) / 8))
	if s.random.IntN(6) == 0 {
		delay = time.Duration(s.random.Int64N(int64(mostDelay)))
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
	row := lead(s.t, s.version, 1, next)
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
		w := New(Config{VM: model.VMID(fmt.Sprint(i)), Boot: "boot", LeaseTTL: bound})
		w.ApplyInstances(1, true, []model.Instance{{Name: "p", Group: "g", Address: netip.MustParseAddrPort("10.0.0.1:1")}}, nil, time.Time{})
		s.worlds = append(s.worlds, w)
	}
	return s
}

// poll asks the store: the answer holds what is there when it is given, and arrives later.
func (s *schedule) poll(i int) {
	sentAt := s.now
	s.later(func() {
		if s.cut[i] {
			return
		}
		rows, version := s.rows(), s.version
		s.later(func() { require.NoError(s.t, s.worlds[i].ApplyRows(version, true, rows, sentAt)) })
	})
}

// relay asks another VM, whose copy has an age.
func (s *schedule) relay(i, j int) {
	sentAt := s.now
	s.later(func() {
		if s.cut[i] != s.cut[j] || s.worlds[j].TableVersion() == 0 {
			return
		}
		w := s.worlds[j]
		age := s.now.Sub(w.TableCurrentAt())
		lead, version := w.Snapshot().Primaries["g"], w.TableVersion()
		row, err := lead.Row()
		require.NoError(s.t, err)
		rows := []model.StoredRow{row}
		for _, vm := range w.Snapshot().VMs {
			r, err := vm.Row()
			require.NoError(s.t, err)
			rows = append(rows, r)
		}
		s.later(func() { require.NoError(s.t, s.worlds[i].ApplyRows(version, true, rows, sentAt.Add(-age))) })
	})
}

// witness asks a replica whether it is paused.
func (s *schedule) witness(i, replica int) {
	sentAt := s.now
	s.later(func() {
		if s.blind[i][replica] || s.paused[replica] {
			return
		}
		s.later(func() { s.worlds[i].RecordTermCheck("g", 1, sentAt) })
	})
}

// replace runs the replacement: announce, ask for releases, stop the replicas, and promote when the rule allows it.
func (s *schedule) replace() {
	if !s.intent {
		s.intent = true
		s.version++
		s.announcedAt = s.now
	}
	for i := range runVMs {
		version := s.version
		s.later(func() {
			if s.cut[i] {
				return
			}
			s.worlds[i].Revoke("g", version)
			s.later(func() { s.confirm(i, version) })
		})
	}
	for replica := range s.paused {
		if s.deaf[replica] {
			continue
		}
		s.paused[replica] = true
	}
	stopped := s.paused[0] && s.paused[1]
	if !s.rule.allReplicas {
		stopped = s.paused[0] || s.paused[1]
	}
	if stopped && s.pausedAt.IsZero() {
		s.pausedAt = s.now
	}
	if s.allReleased() || (!s.pausedAt.IsZero() && s.now.Sub(s.pausedAt) >= s.rule.wait) {
		s.effective = true
	}
}

// confirm lets a VM tell the holder that it stopped using the primary, after the answers that it waited for.
func (s *schedule) confirm(i int, version int64) {
	if s.rule.confirms {
		s.worlds[i].Confirm("g", version)
	}
	s.later(func() { s.released[i] = true })
}

// send starts a statement that may commit, if the VM may use the primary.
func (s *schedule) send(i int) {
	if lease, ok := s.worlds[i].Lease(s.now, "g"); ok && lease.Term == 1 {
		s.sent[i] = append(s.sent[i], lease)
	}
}

// acknowledges tells whether a VM would pass on an answer now.
func (s *schedule) acknowledges(i int) bool {
	for _, lease := range s.sent[i] {
		if s.worlds[i].MayAcknowledge(s.now, lease) {
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

// run returns whether a VM could use the old primary, or pass on an answer of it, after the promotion took effect.
func (s *schedule) run() bool {
	start := at(1000 + s.random.IntN(3000))
	for ; s.now.Before(at(0).Add(runLength)); s.now = s.now.Add(runStep) {
		s.deliver()
		for i := range runVMs {
			s.act(i)
		}
		if !s.now.Before(start) && !s.effective && s.random.IntN(10) == 0 {
			s.replace()
		}
		if s.effective {
			for i, w := range s.worlds {
				if lease, ok := w.Lease(s.now, "g"); (ok && lease.Term == 1) || s.acknowledges(i) {
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
		s.relay(i, s.random.IntN(runVMs))
	case 4, 5:
		s.witness(i, s.random.IntN(2))
	case 6:
		s.cut[i] = s.random.IntN(2) == 0
	case 7:
		s.blind[i][s.random.IntN(2)] = s.random.IntN(2) == 0
	case 8:
		s.deaf[s.random.IntN(2)] = s.random.IntN(3) == 0
	case 9, 10:
		s.send(i)
	}
}
