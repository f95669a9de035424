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

// maxDatagramBytes bounds a datagram in bytes.
const maxDatagramBytes = 8 << 10

type (
	// udpTransport carries datagrams between VMs.
	udpTransport struct {
		conn   *net.UDPConn
		log    *log.Logger
		handle func(now time.Time, from netip.AddrPort, message datagram)
	}

	// datagram carries a question for admission or its answer, the demand of a VM, or questions for tokens and tokens.
	datagram struct {
		Ask    *admissionRequest     `json:",omitempty"`
		Told   *admissionReply       `json:",omitempty"`
		Report *share.Report         `json:",omitempty"`
		Wants  []share.TokenTransfer `json:",omitempty"`
		Loans  []share.TokenTransfer `json:",omitempty"`
	}

	// admissionRequest asks whether an operation of a team is admitted.
	admissionRequest struct {
		ID   uint64
		Team model.TeamName
	}

	// admissionReply answers an admission.
	admissionReply struct {
		ID      uint64
		Verdict share.Decision
	}
)

func (g *udpTransport) listen(address netip.AddrPort) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	g.conn = conn
	return err
}

func (g *udpTransport) send(to netip.AddrPort, message datagram) {
	body, err := json.Marshal(message)
	if err != nil || len(body) > maxDatagramBytes {
		g.log.Error("datagram not sent", "bytes", len(body), "error", err)
		return
	}
	if _, err := g.conn.WriteToUDPAddrPort(body, to); err != nil {
		g.log.Debug("datagram not sent", "to", to, "error", err)
	}
}

// receive handles datagrams until the socket is closed.
func (g *udpTransport) receive() {
	buffer := make([]byte, maxDatagramBytes)
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
