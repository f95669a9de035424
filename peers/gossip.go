package peers

import (
	"encoding/json"
	"net"
	"net/netip"
	"time"

	"github.com/charmbracelet/log"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/share"
)

// maxDatagram bounds a datagram in bytes.
const maxDatagram = 8 << 10

type (
	// gossip carries datagrams between VMs.
	gossip struct {
		conn   *net.UDPConn
		log    *log.Logger
		handle func(now time.Time, from netip.AddrPort, message datagram)
	}

	// datagram carries a question for admission or its answer, the demand of a VM, or questions for tokens and tokens.
	datagram struct {
		Ask    *admission    `json:",omitempty"`
		Told   *admitted     `json:",omitempty"`
		Report *share.Report `json:",omitempty"`
		Wants  []share.Loan  `json:",omitempty"`
		Loans  []share.Loan  `json:",omitempty"`
	}

	// admission asks whether an operation of a team is admitted.
	admission struct {
		ID   uint64
		Team model.TeamName
	}

	// admitted answers an admission.
	admitted struct {
		ID      uint64
		Verdict share.Verdict
	}
)

func (g *gossip) listen(address netip.AddrPort) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	g.conn = conn
	return err
}

func (g *gossip) send(to netip.AddrPort, message datagram) {
	body, err := json.Marshal(message)
	if err != nil || len(body) > maxDatagram {
		g.log.Error("datagram not sent", "bytes", len(body), "error", err)
		return
	}
	if _, err := g.conn.WriteToUDPAddrPort(body, to); err != nil {
		g.log.Debug("datagram not sent", "to", to, "error", err)
	}
}

// receive handles datagrams until the socket is closed.
func (g *gossip) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return // The socket was closed.
		}
		var message datagram
		if err := json.Unmarshal(buffer[:n], &message); err != nil {
			g.log.Warn("datagram not understood", "error", err)
			continue
		}
		g.handle(clock.Now(), from, message)
	}
}
