package peers

import (
	"encoding/json"
	"net"
	"net/netip"
	"time"

	"github.com/charmbracelet/log"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/memory"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/share"
)

// maxDatagramBytes bounds a datagram; a longer one is not sent.
const maxDatagramBytes = 8 << 10

type (
	// udpTransport sends and receives datagrams between VMs.
	udpTransport struct {
		conn   *net.UDPConn
		log    *log.Logger
		counts *memory.Counts
		handle func(now time.Time, from netip.AddrPort, message datagram)
	}

	// datagram is an admission request (Ask) or its answer (Told), a demand report or the answer to one (Reported), token requests (Wants) or
	// granted tokens (Loans), which are not paid back, or a probe or its answer (Probed). VMs with an older program ignore probes.
	datagram struct {
		Ask      *admissionRequest     `json:",omitempty"`
		Told     *admissionReply       `json:",omitempty"`
		Report   *share.Report         `json:",omitempty"`
		Reported *share.Report         `json:",omitempty"`
		Wants    []share.TokenTransfer `json:",omitempty"`
		Loans    []share.TokenTransfer `json:",omitempty"`
		// WantsID numbers token requests, and LoansFor is the number of those that the tokens are granted for.
		WantsID  uint64 `json:",omitempty"`
		LoansFor uint64 `json:",omitempty"`
		Probe    *probe `json:",omitempty"`
		Probed   *probe `json:",omitempty"`
	}

	// admissionRequest requests a decision on an operation of a team.
	admissionRequest struct {
		ID   uint64
		Team model.TeamName
	}

	// admissionReply is the answer to the admission request with the same ID.
	admissionReply struct {
		ID      uint64
		Verdict share.Decision
	}
)

func (t *udpTransport) listen(address netip.AddrPort) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	t.conn = conn
	return err
}

func (t *udpTransport) send(to netip.AddrPort, message datagram) {
	body, err := json.Marshal(message)
	if err != nil || len(body) > maxDatagramBytes {
		t.log.Error("cannot send datagram", "bytes", len(body), "error", err)
		return
	}
	if _, err := t.conn.WriteToUDPAddrPort(body, to); err != nil {
		t.log.Debug("cannot send datagram", "to", to, "error", err)
	}
}

// receive handles datagrams until the socket is closed.
func (t *udpTransport) receive() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return // The socket was closed.
		}
		var message datagram
		if err := json.Unmarshal(buffer[:n], &message); err != nil {
			t.counts.Add(memory.KindDatagram)
			t.log.Debug("cannot decode datagram", "error", err)
			continue
		}
		t.handle(clock.Now(), netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), message)
	}
}
