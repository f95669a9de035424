package entry

import (
	"context"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/wire"
)

const (
	rosterInterval = 500 * time.Millisecond
	rosterTimeout  = 2 * time.Second
)

// runRosterSync keeps the list of VMs up to date. Relays read it from the platform for their failure domain; the
// other VMs fetch it from the VM that they ask for confirmations, and only when it has changed.
func (s *Server) runRosterSync(ctx context.Context) {
	every(ctx, rosterInterval, func(ctx context.Context) {
		if !s.isRelay() {
			s.directory.ExpireUnreachable(s.now())
			return
		}
		ctx, cancel := context.WithTimeout(ctx, rosterTimeout)
		defer cancel()
		vms, err := s.store.VMs(ctx)
		if err != nil {
			s.recordSyncError("roster", err)
			return
		}
		s.directory.Update(s.now(), vms)
	})
}

// catchUpRoster fetches the list of VMs from a peer, unless the peer has none or the digest of its list equals the digest
// of the list on this VM.
func (s *Server) catchUpRoster(ctx context.Context, peer model.VM, digest uint64) error {
	if digest == 0 || digest == s.directory.PlatformDigest() {
		return nil
	}
	answer, err := s.directory.Peer(peer.Address).Roster(ctx, newRequest(&wire.RosterRequest{}))
	if err != nil {
		return err
	}
	vms := make([]model.VM, 0, len(answer.Msg.Vms))
	for _, vm := range answer.Msg.Vms {
		address, err := netip.ParseAddrPort(vm.Address)
		if err != nil {
			return err
		}
		vms = append(vms, model.VM{ID: model.VMID(vm.Id), Domain: model.Domain(vm.Domain), Address: address, Leaving: vm.Leaving})
	}
	s.directory.Update(s.now(), vms)
	return nil
}

// Roster implements wire.PeerHandler.
func (p peerServer) Roster(context.Context, *connect.Request[wire.RosterRequest]) (*connect.Response[wire.RosterResponse], error) {
	answer := &wire.RosterResponse{}
	for _, vm := range p.server.directory.PlatformList() {
		answer.Vms = append(answer.Vms, &wire.VM{
			Id: string(vm.ID), Domain: string(vm.Domain), Address: vm.Address.String(), Leaving: vm.Leaving,
		})
	}
	return connect.NewResponse(answer), nil
}
