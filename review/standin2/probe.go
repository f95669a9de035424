//go:build review2

package main

import (
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// writePause and readPause are the pauses of a requester between two requests.
	writePause = 20 * time.Millisecond
	readPause  = 10 * time.Millisecond
)

// probe writes through one machine and reads through another.
type probe struct {
	stop  chan struct{}
	done  sync.WaitGroup
	acked atomic.Int64
	stale atomic.Int64
	s     *site
}

func newProbe(s *site) *probe { return &probe{s: s, stop: make(chan struct{})} }

// write writes ascending numbers through a machine until the probe ends.
func (p *probe) write(m *vm, database string) {
	p.done.Go(func() {
		var c *client
		for n := int64(1); !p.ended(); n++ {
			if c == nil {
				if c, _ = open(m, database, key); c == nil {
					time.Sleep(5 * time.Millisecond)
					continue
				}
			}
			id, r, err := c.do(fmt.Sprintf("WRITE probe %d", n))
			p.s.record("requester: id=%s WRITE probe %d through %s: proof=%q fault=%q error=%v", id, n, m.name, r.proof, r.fault, err)
			switch {
			case err != nil:
				c.close()
				c = nil
			case r.fault == "":
				p.acked.Store(n)
			}
			time.Sleep(writePause)
		}
	})
}

// read reads through a machine until the probe ends, and counts the reads that lack a write that was acknowledged before.
func (p *probe) read(m *vm, database string) {
	p.done.Go(func() {
		var c *client
		for !p.ended() {
			if c == nil {
				if c, _ = open(m, database, key); c == nil {
					time.Sleep(2 * time.Millisecond)
					continue
				}
			}
			least := p.acked.Load()
			id, r, err := c.do("READ probe")
			if err != nil {
				c.close()
				c = nil
				continue
			}
			if r.fault != "" {
				p.s.record("requester: id=%s READ probe through %s: fault=%q", id, m.name, r.fault)
				time.Sleep(readPause)
				continue
			}
			got, _ := strconv.ParseInt(r.rows[0], 10, 64)
			verdict := "fresh"
			if got < least {
				p.stale.Add(1)
				verdict = "STALE"
			}
			p.s.record("requester: id=%s READ probe through %s gave %q with %s after %d was acknowledged: %s", id, m.name, r.rows[0], r.proof, least, verdict)
			time.Sleep(readPause)
		}
	})
}

func (p *probe) ended() bool {
	select {
	case <-p.stop:
		return true
	default:
		return false
	}
}

func (p *probe) end() {
	close(p.stop)
	p.done.Wait()
	p.s.record("probe: %d reads were stale", p.stale.Load())
}
