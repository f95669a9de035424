package peers

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/charmbracelet/log"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/retry"
	"github.com/crocusshore/crocusshore/share"
	"github.com/crocusshore/crocusshore/world"
)

const (
	// gossipPause is how often the demand is told in the own failure domain.
	gossipPause = time.Second
	// lendPause is how often a VM that is low on tokens asks others.
	lendPause = 60 * time.Millisecond
	// askedPeers is how many VMs are asked at once.
	askedPeers = 2
	// farEvery tells in how many rounds the demand goes to other failure domains once.
	farEvery = 2
	// maxDatagram bounds a datagram in bytes.
	maxDatagram = 8 << 10
)

type (
	// Gossip tells the demand of this VM to the others and exchanges tokens with them.
	Gossip struct {
		Self    model.VMID
		Domain  model.Domain
		World   *world.World
		Limiter *share.Limiter
		Log     *log.Logger

		conn *net.UDPConn
	}

	// datagram carries one of its fields.
	datagram struct {
		Report *share.Report `json:",omitempty"`
		Ask    *share.Loan   `json:",omitempty"`
		Loan   *share.Loan   `json:",omitempty"`
	}
)

// Listen binds the address for datagrams.
func (g *Gossip) Listen(address netip.AddrPort) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	g.conn = conn
	return err
}

// Run sends and receives until the context ends.
func (g *Gossip) Run(ctx context.Context) {
	go g.receive()
	go g.borrow(ctx)
	for round := 0; retry.Sleep(ctx, gossipPause); round++ {
		g.tell(round%farEvery == 0)
	}
	if err := g.conn.Close(); err != nil {
		g.Log.Debug("datagram socket not closed", "error", err)
	}
}

// tell sends the demand to the own failure domain, or to all VMs.
func (g *Gossip) tell(far bool) {
	report := g.Limiter.Report(clock.Now(), g.Self)
	for _, vm := range g.World.State().Others(g.Self) {
		if vm.Domain == g.Domain || far {
			g.send(vm.Gossip, datagram{Report: &report})
		}
	}
}

// borrow asks other VMs at random, for tokens of the teams that run low.
func (g *Gossip) borrow(ctx context.Context) {
	for retry.Sleep(ctx, lendPause) {
		wants := g.Limiter.Wants(clock.Now(), g.Self)
		if len(wants) == 0 {
			continue
		}
		vms := g.World.State().Others(g.Self)
		if len(vms) == 0 {
			continue
		}
		for _, ask := range wants {
			// Each VM gets half of the question, so that two answers are not more than was asked for.
			ask.Tokens = max(1, math.Floor(ask.Tokens/askedPeers))
			for range askedPeers {
				g.send(vms[rand.IntN(len(vms))].Gossip, datagram{Ask: &ask})
			}
		}
	}
}

func (g *Gossip) send(to netip.AddrPort, message datagram) {
	body, err := json.Marshal(message)
	if err != nil || len(body) > maxDatagram {
		g.Log.Error("datagram not sent", "bytes", len(body), "error", err)
		return
	}
	if _, err := g.conn.WriteToUDPAddrPort(body, to); err != nil {
		g.Log.Debug("datagram not sent", "to", to, "error", err)
	}
}

func (g *Gossip) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return // The socket was closed.
		}
		var message datagram
		if err := json.Unmarshal(buffer[:n], &message); err != nil {
			g.Log.Warn("datagram not understood", "error", err)
			continue
		}
		g.handle(clock.Now(), from, message)
	}
}

func (g *Gossip) handle(now time.Time, from netip.AddrPort, message datagram) {
	switch {
	case message.Report != nil:
		g.Limiter.Hear(now, *message.Report)
	case message.Ask != nil:
		loan := g.Limiter.Lend(now, g.Self, *message.Ask)
		if loan.Tokens > 0 {
			g.send(from, datagram{Loan: &loan})
		}
	case message.Loan != nil:
		g.Limiter.Receive(now, *message.Loan)
	}
}
