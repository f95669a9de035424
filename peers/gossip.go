package peers

import (
	"context"
	"encoding/json"
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
	// farEvery tells in how many rounds the demand goes to other failure domains once.
	farEvery = 2
	// maxDatagram bounds a datagram in bytes.
	maxDatagram = 8 << 10
)

// Gossip tells the demand of this VM to the others.
type Gossip struct {
	Self    model.VMID
	Domain  model.Domain
	World   *world.World
	Limiter *share.Limiter
	Log     *log.Logger

	conn *net.UDPConn
}

// Listen binds the address for datagrams.
func (g *Gossip) Listen(address netip.AddrPort) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	g.conn = conn
	return err
}

// Run sends and receives until the context ends.
func (g *Gossip) Run(ctx context.Context) {
	go g.receive()
	for round := 0; retry.Sleep(ctx, gossipPause); round++ {
		g.send(round%farEvery == 0)
	}
	if err := g.conn.Close(); err != nil {
		g.Log.Debug("datagram socket not closed", "error", err)
	}
}

func (g *Gossip) send(far bool) {
	report := g.Limiter.Report(clock.Now(), g.Self)
	body, err := json.Marshal(report)
	if err != nil || len(body) > maxDatagram {
		g.Log.Error("demand not told", "bytes", len(body), "error", err)
		return
	}
	for _, vm := range g.World.State().Others(g.Self) {
		if vm.Domain != g.Domain && !far {
			continue
		}
		if _, err := g.conn.WriteToUDPAddrPort(body, vm.Gossip); err != nil {
			g.Log.Debug("demand not told", "vm", vm.Name, "error", err)
		}
	}
}

func (g *Gossip) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := g.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return // The socket was closed.
		}
		var report share.Report
		if err := json.Unmarshal(buffer[:n], &report); err != nil {
			g.Log.Warn("datagram not understood", "error", err)
			continue
		}
		g.Limiter.Hear(clock.Now(), report)
	}
}
