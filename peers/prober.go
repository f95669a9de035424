package peers

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/state"
)

// probeRetention is the time after a probe for which its answer is accepted.
const probeRetention = time.Second

type (
	// Prober sends probes to other VMs and records their answers. It is safe for concurrent use.
	Prober struct {
		transport      *udpTransport
		sent, answered tally.Counter

		mu     sync.Mutex
		lastID uint64
		// pending holds the probes without an answer, by their ID.
		pending map[uint64]sentProbe
		// answeredBy holds the process of each VM that answered last.
		answeredBy map[model.VMID]model.BootID
		answeredAt time.Time
	}

	// probe asks a VM whether it is reachable; the answer repeats the ID.
	probe struct {
		ID uint64
	}

	sentProbe struct {
		to state.VM
		at time.Time
	}
)

func newProber(transport *udpTransport, metrics tally.Scope) *Prober {
	counter := func(result string) tally.Counter {
		return metrics.Tagged(map[string]string{"result": result}).Counter("probes")
	}
	return &Prober{
		transport: transport, sent: counter("Sent"), answered: counter("Answered"),
		// Answers to an earlier process at this address may still arrive.
		lastID: rand.Uint64(), pending: map[uint64]sentProbe{}, answeredBy: map[model.VMID]model.BootID{},
	}
}

// Send sends a probe to each of some VMs.
func (p *Prober) Send(now time.Time, vms []state.VM) {
	for _, vm := range vms {
		p.transport.send(vm.Gossip, datagram{Probe: &probe{ID: p.expect(now, vm)}})
	}
	p.sent.Inc(int64(len(vms)))
}

// expect returns the ID of a probe to a VM, and forgets those that are too old to be answered.
func (p *Prober) expect(now time.Time, vm state.VM) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, sent := range p.pending {
		if now.Sub(sent.at) > probeRetention {
			delete(p.pending, id)
		}
	}
	p.lastID++
	p.pending[p.lastID] = sentProbe{to: vm, at: now}
	return p.lastID
}

// receive records an answer to a probe; one that is late or of another address is dropped.
func (p *Prober) receive(now time.Time, from netip.AddrPort, answer probe) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sent, known := p.pending[answer.ID]
	if !known || sent.to.Gossip != from || now.Sub(sent.at) > probeRetention {
		return
	}
	delete(p.pending, answer.ID)
	p.answeredBy[sent.to.Name] = sent.to.Boot
	p.answeredAt = now
	p.answered.Inc(1)
}

// AnsweredAt returns when a probe was last answered.
func (p *Prober) AnsweredAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answeredAt
}

// HasAnswered reports whether the present process of a VM has answered a probe.
func (p *Prober) HasAnswered(vm state.VM) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	boot, known := p.answeredBy[vm.Name]
	return known && boot == vm.Boot
}
