package main

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// writer writes one item after the other through a VM and keeps those that were acknowledged.
type writer struct {
	w     *world
	vm    *vm
	mu    sync.Mutex
	acked []string
	done  sync.WaitGroup
	stop  atomic.Bool
}

func (w *world) newWriter(v *vm) *writer {
	t := &writer{w: w, vm: v}
	t.done.Go(t.run)
	return t
}

func (t *writer) run() {
	var c *client
	for n := 0; !t.stop.Load(); n++ {
		if c == nil {
			var err error
			if c, err = open(t.w.record, "estimator", t.vm, primaryDB, key); err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		item := fmt.Sprintf("order%d", n)
		a, err := c.query(newID(), fmt.Sprintf("WRITE %s pitch%d", item, n))
		if err != nil {
			c.close()
			c = nil
		} else if a.fault == "" && a.mac != "-" {
			t.mu.Lock()
			t.acked = append(t.acked, item)
			t.mu.Unlock()
		}
		time.Sleep(50 * time.Millisecond)
	}
	if c != nil {
		c.close()
	}
}

// end stops the writer and returns the items whose writes were acknowledged.
func (t *writer) end() []string {
	t.stop.Store(true)
	t.done.Wait()
	t.w.record.add("case", "%d writes were acknowledged", len(t.acked))
	return t.acked
}

// judgeLost reports whether an instance was promoted whose log lacks a write that was acknowledged to its requester before.
func (w *world) judgeLost(acked []string) (bool, error) {
	if len(acked) == 0 {
		return false, errors.New("no write was acknowledged")
	}
	w.cluster.mu.Lock()
	leader, promoted := w.cluster.leader(), append([]string(nil), w.cluster.promoted...)
	w.cluster.mu.Unlock()
	missing := 0
	for _, item := range acked {
		if !leader.holds(item) {
			missing++
			w.record.add("case", "the write of %s was acknowledged and is not in the log of %s", item, leader.id)
		}
	}
	w.record.add("case", "promoted: %v; primary now: %s; %d of %d acknowledged writes are missing", promoted, leader.id, missing, len(acked))
	return len(promoted) > 0 && missing > 0, nil
}

// restartedReplica: one replica receives nothing and the primary goes dark meanwhile. The other replica, which had received every commit,
// starts again under its id and holds nothing.
func restartedReplica(w *world) (bool, error) {
	primary, restarted, deaf := w.cluster.instances[0], w.cluster.instances[1], w.cluster.instances[2]
	writes := w.newWriter(w.fleet.vms[0])
	if w.trouble {
		deaf.setDeaf(true)
	}
	time.Sleep(1500 * time.Millisecond)
	acked := writes.end()
	if w.trouble {
		primary.setDark(true)
		restarted.restart(300 * time.Millisecond)
		time.Sleep(4200 * time.Millisecond)
		deaf.setDeaf(false)
		primary.setDark(false)
	}
	time.Sleep(6 * time.Second)
	return w.judgeLost(acked)
}

// lateRegistrations: the store is down and the registrations expire; all daemons are killed and started again meanwhile, and one replica
// receives nothing. Once the store is back, this replica checks in first and the other instances about a second later. All instances run all
// the time.
func lateRegistrations(w *world) (bool, error) {
	primary, other, deaf := w.cluster.instances[0], w.cluster.instances[1], w.cluster.instances[2]
	writes := w.newWriter(w.fleet.vms[0])
	time.Sleep(time.Second)
	if w.trouble {
		deaf.setDeaf(true)
		w.store.setDown(true)
	}
	time.Sleep(3500 * time.Millisecond)
	acked := writes.end()
	if w.trouble {
		for _, v := range w.fleet.vms {
			if err := v.kill(w.record); err != nil {
				return false, err
			}
		}
		time.Sleep(300 * time.Millisecond)
		for _, v := range w.fleet.vms {
			if err := v.start(w.record); err != nil {
				return false, err
			}
		}
		time.Sleep(700 * time.Millisecond)
		now := time.Now()
		deaf.beatAt(now.Add(100 * time.Millisecond))
		primary.beatAt(now.Add(1100 * time.Millisecond))
		other.beatAt(now.Add(1200 * time.Millisecond))
		w.store.setDown(false)
		time.Sleep(1300 * time.Millisecond)
		deaf.setDeaf(false)
	}
	time.Sleep(8 * time.Second)
	return w.judgeLost(acked)
}

// stoppedWithCaller: a VM gets SIGTERM while requesters send one statement after the other on their open sessions. The rule LOST is broken
// if a connection ends without a complete answer to a statement that reached an instance; one that was sent within 3 s of SIGTERM does
// not count.
func stoppedWithCaller(w *world) (bool, error) {
	const sessions = 6
	stopping := w.fleet.vms[0]
	time.Sleep(5 * time.Second)
	var termAt atomic.Int64
	var stop atomic.Bool
	var cuts atomic.Int64
	var clients sync.WaitGroup
	for n := range sessions {
		c, err := open(w.record, fmt.Sprintf("session%d", n), stopping, primaryDB, key)
		if err != nil {
			return false, err
		}
		clients.Go(func() {
			defer c.close()
			for k := 0; !stop.Load(); k++ {
				id, item, sentAt := newID(), fmt.Sprintf("s%d-%d", n, k), time.Now()
				if _, err := c.query(id, fmt.Sprintf("WRITE %s line%d", item, k)); err != nil {
					w.judgeCut(c.name, id, item, sentAt, termAt.Load(), err, &cuts)
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	if w.trouble {
		termAt.Store(time.Now().UnixNano())
		stopping.signal(w.record, syscall.SIGTERM)
	}
	time.Sleep(7 * time.Second)
	stop.Store(true)
	clients.Wait()
	w.record.add("case", "%d sessions ended with a statement that reached an instance and was not answered", cuts.Load())
	return cuts.Load() > 0, nil
}

// judgeCut counts a session that ended while its statement was with an instance.
func (w *world) judgeCut(name, id, item string, sentAt time.Time, termAt int64, err error, cuts *atomic.Int64) {
	after, lasted := time.Duration(sentAt.UnixNano()-termAt), time.Since(sentAt)
	time.Sleep(500 * time.Millisecond) // The instance may be at work still.
	arrived, committed := w.cluster.hasArrived(id), w.cluster.leader().holds(item)
	ended := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
	w.record.add("case", "%s: the connection ended without an answer to %s, sent %.3f s after SIGTERM and %.3f s before the end; reached an instance: %v, committed: %v (%v)",
		name, id, after.Seconds(), lasted.Seconds(), arrived, committed, err)
	if arrived && ended && termAt > 0 && after > 3*time.Second {
		cuts.Add(1)
	}
}
